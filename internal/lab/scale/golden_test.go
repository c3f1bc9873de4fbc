package scale

import (
	"bytes"
	"path/filepath"
	"testing"

	"yokestall/internal/testutil/golden"
)

// A file with every field of Figures set is decoded into these values.
func TestGoldenFiguresDecode(t *testing.T) {
	golden.Lines(t, "testdata/golden/figures.json", Figures{
		Name: "run-a", Description: "text-a", Command: "command-a", Plan: "plan-a", Seed: 1, Sizes: []int{10, 20},
		Voters: 3, ServeProcesses: 4, Regions: 5, Zones: 6, TLS: true, Lease: "7s", Renew: "8s",
		Content: Content{Clusters: 9, Servers: 11, Routes: 12, Tenants: 13},
		Machine: Machine{
			Cores: 14, MemoryMB: 15, System: "system-a", Go: "go-a", StoreFileSystem: "stores-a",
			LoadAverages: []float64{16.5, 17.5},
		},
		CounterNotes: "counts-a",
		Late:         []LateNodes{{Step: "step-a", Size: 18, Count: 19, Nodes: []string{"node-a"}, ByRegion: []int{21, 22}}},
		Numbers:      map[string]float64{"number-a": 23.5},
		Series: map[string]*Series{"series-a": {
			Unit: "ms", SizeUnit: "servers", Points: []Point{{At: 24.5, Value: 25.5}}, Mean: 26.5, Max: 27.5,
			Fit: &Fit{Slope: 28.5, Intercept: 29.5, Residual: 30.5, Relative: 31.5, R2: 32.5},
		}},
	})
}

// A published file of figures is decoded with no unknown field, and Write reproduces the file byte for byte.
func TestGoldenPublishedFigures(t *testing.T) {
	const published = "../../../docs/capacity/fleet_tls.json"
	f, err := ReadFigures(published)
	if err != nil {
		t.Fatal(err)
	}
	if f.Name != "fleet_tls" || f.Lease != "1.5s" || f.Renew != "356.25ms" || f.Machine.MemoryMB != 24150 ||
		len(f.Series) != 449 {
		t.Errorf("got figures %s with lease %s, renew interval %s, memory %d MB, %d series; want fleet_tls, 1.5s, 356.25ms, 24150, 449",
			f.Name, f.Lease, f.Renew, f.Machine.MemoryMB, len(f.Series))
	}
	if u := f.Late[3]; u.Step != "apart_settings" || u.Size != 400 || u.Count != 223 || u.ByRegion[1] != 202 {
		t.Errorf("got late nodes %+v, want 223 in step apart_settings at size 400, 202 of them in region 1", u)
	}
	s := f.Series["idle.node.process_memory"]
	if s.Unit != "MB" || s.SizeUnit != "nodes in the process" || s.Points[1] != (Point{At: 100, Value: 148.06}) ||
		s.Mean != 206.94 || s.Max != 273.89 {
		t.Errorf("got series %+v, want MB by nodes in the process, 148.06 at 100, mean 206.94 and maximum 273.89", s)
	}
	if want := (Fit{Slope: 1.1352, Intercept: 36.662, Residual: 6.0174, Relative: 0.029078, R2: 0.99302}); *s.Fit != want {
		t.Errorf("got fit %+v, want %+v", *s.Fit, want)
	}
	path := filepath.Join(t.TempDir(), "figures.json")
	if err := f.Write(path); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(golden.Read(t, path), golden.Read(t, published)) {
		t.Errorf("the output of Write differs from the file %s that was read", published)
	}
}
