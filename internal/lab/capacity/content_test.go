package capacity

import (
	"encoding/json"
	"strings"
	"testing"

	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/store"
	"yokestall/internal/lab/process"
)

// The sizes of the configuration in docs/capacity/content.json equal those of the files that the generator of
// `yokestall lab process` writes.
func TestContentSizes(t *testing.T) {
	const folder = "../../../docs/capacity"
	all, err := ReadFiles(folder)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := process.ReadPlan("../../../deploy/lab/process/plan.toml")
	if err != nil {
		t.Fatal(err)
	}
	size := plan.Sizes[0]
	generator := func(routes, tenants int) *process.Generator {
		size := size
		size.Routes, size.Tenants = routes, tenants
		return &process.Generator{Size: size, Seed: plan.Seed, Place: process.DefaultPlace()}
	}
	program := func(routes, tenants int) int { return len(generator(routes, tenants).Program(process.Settings{})) }
	lists, whole := 0, generator(size.Routes, size.Tenants)
	for i := range size.Services {
		lists += len(whole.Cluster(i, 0))
	}
	manifest := consensus.Manifest{Number: 1000, Base: 999, ID: strings.Repeat("f", 32), Proposer: "voter-0"}
	add := func(name string, text []byte) {
		manifest.Parts = append(manifest.Parts, consensus.Part{Name: name, Hash: store.ContentHash(text), SizeBytes: len(text)})
	}
	add(files.ProgramPart, generator(size.Routes, 0).Program(process.Settings{}))
	add(files.TenantsPart, whole.Program(process.Settings{}))
	for i := range size.Services {
		add(process.ServiceName(i)+".toml", whole.Cluster(i, 0))
	}
	description, err := json.Marshal(manifest)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int{
		"program_bytes":                   program(size.Routes, size.Tenants),
		"program_bytes_without_tenants":   program(size.Routes, 0),
		"program_bytes_1000_tenants":      program(size.Routes, 1000),
		"program_bytes_route_per_service": program(size.Services, 0),
		"list_bytes":                      len(whole.Cluster(0, 0)),
		"lists_bytes":                     lists,
		"manifest_bytes":                  len(description),
	} {
		got, err := Figure{"content", name}.Value(all)
		if err != nil || got != float64(want) {
			t.Errorf("%s: got %v (error %v) from content.json, want the generator's size %d", name, got, err, want)
		}
	}
}
