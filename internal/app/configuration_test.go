package app

import (
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
)

// program is a program's file with three routes; the cluster of /lost/ is not defined.
const program = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
poll = "20ms"
max_removed_share = 1
[limits]
attempts = 3
max_retry_after = "600ms"
[[class]]
name = "read"
effect = "safe"
deadline = "5s"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "5s"
[[host]]
[[host.route]]
prefix = "/lost/"
class = "read"
cluster = "undefined"
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// parse reads a program's file.
func parse(t testing.TB, text string) *config.Program {
	t.Helper()
	p, err := config.ParseProgram("yokestall.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// rooms returns the cluster rooms with endpoints.
func rooms(list ...cluster.Endpoint) *cluster.Config {
	c := &cluster.Config{Name: "rooms", Endpoints: list, ShrinkTo: -1, AllowEmpty: len(list) == 0}
	if err := c.Check(nil); err != nil {
		panic(err)
	}
	return c
}

// endpointOf returns the endpoint of a box.
func endpointOf(b *appbox.Server) cluster.Endpoint {
	return cluster.Endpoint{ID: b.Name, Address: b.Addr(), Weight: 1}
}

// snapshot returns a version of the files with clusters.
func snapshot(p *config.Program, list ...*cluster.Config) *files.Configuration {
	v := &cluster.Version{Clusters: map[string]*cluster.Config{}}
	for _, c := range list {
		v.Clusters[c.Name] = c
	}
	return &files.Configuration{Program: p, Version: v}
}
