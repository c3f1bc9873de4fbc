package process

import (
	"bytes"
	"reflect"
	"testing"

	"yokestall/internal/testutil/golden"
)

func TestGoldenReportDecodes(t *testing.T) {
	golden.Lines(t, "testdata/golden/report.json", Report{
		Command: "command-a", Commit: "commit-a", Began: "began-a", Seed: 1,
		Machine: Machine{Cores: 2, MemoryMB: 3, System: "system-a", Go: "go-a", Load: 4.5},
		Sizes: []Size{{
			Name: "size-a", Services: 5, Servers: 6, Routes: 7, Tenants: 8, Nodes: 9, TenantsFile: true, MemoryMB: 10,
		}},
		Figures: []Figure{{Key: "key-a", Value: 11.5, Unit: "ms"}},
		Slopes: []Fit{{
			Key: "key-b", Dimension: "tenants", Slope: 12.5, Intercept: 13.5, Residual: 14.5, Points: 15, Unit: "MB",
		}},
		Notes: []string{"note-a"},
	})
}

// A published report is decoded without unknown fields, and encoded again to the same bytes.
func TestGoldenPublishedReport(t *testing.T) {
	text := golden.Read(t, "../../../docs/capacity/process-after.json")
	var r Report
	golden.Strict(t, text, &r)
	if want := (Size{
		Name: "limited", Services: 500, Servers: 30, Routes: 14000, Tenants: 140000, Nodes: 1900,
		TenantsFile: true, MemoryMB: 200,
	}); len(r.Sizes) != 2 || r.Sizes[1] != want {
		t.Errorf("sizes %+v, want two of which the second is %+v", r.Sizes, want)
	}
	encoded, err := r.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, text) {
		t.Error("the encoded report differs from the file")
	}
}

// A published report with slopes is decoded without unknown fields, and encoded again to the same JSON value. The encoded bytes
// differ from the file: slopes near 0.00001 have an exponent in the file, which this package doesn't write.
func TestGoldenPublishedSlopes(t *testing.T) {
	text := golden.Read(t, "../../../docs/capacity/process-slope-before.json")
	var r Report
	golden.Strict(t, text, &r)
	encoded, err := r.JSON()
	if err != nil {
		t.Fatal(err)
	}
	var got, want any
	golden.Strict(t, encoded, &got)
	golden.Strict(t, text, &want)
	if !reflect.DeepEqual(got, want) {
		t.Error("the encoded report has another JSON value than the file")
	}
	wantMachine := Machine{Cores: 8, MemoryMB: 24150, System: "linux/amd64", Go: "go1.26.8", Load: 32.11}
	if r.Machine != wantMachine || r.Began != "2026-12-02T05:06:38Z" || r.Seed != 1 {
		t.Errorf("machine %+v, start %s, seed %d; want machine %+v, start 2026-12-02T05:06:38Z, seed 1",
			r.Machine, r.Began, r.Seed, wantMachine)
	}
	wantSize := Size{Name: "together-62", Services: 62, Servers: 30, Routes: 1736, Tenants: 1000, Nodes: 1900}
	if r.Sizes[0] != wantSize {
		t.Errorf("first size %+v, want %+v", r.Sizes[0], wantSize)
	}
	if f, ok := r.Value("together-62.check_fewer_tenants.cpu"); !ok || f.Value != 0.049628 || f.Unit != "s" {
		t.Errorf("figure %+v, found %v; want 0.049628 s", f, ok)
	}
	if want := (Fit{
		Key: "together.check_fewer_tenants.cpu", Dimension: "services", Points: 4, Unit: "s",
		Slope: 0.0006435842718606291, Intercept: -0.0011908656833523323, Residual: 0.017268417782271405,
	}); r.Slopes[4] != want {
		t.Errorf("slope 4 is %+v, want %+v", r.Slopes[4], want)
	}
}
