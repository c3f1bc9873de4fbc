package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// --write writes the files of each size of a plan, and the program accepts these files. An unknown size and a file that
// is no plan are rejected.
func TestLabProcessWrites(t *testing.T) {
	small, dir := filepath.Join("..", "..", "deploy", "lab", "process", "small.toml"), t.TempDir()
	out, err := run(t, "lab", "process", "--write", dir, small)
	if err != nil || !strings.Contains(out, "20 services, 10 servers each, 560 routes, 500 tenants") {
		t.Fatalf("lab process --write: output %q, error %v; want the numbers of the size small", out, err)
	}
	if out, err := run(t, "check", filepath.Join(dir, "small", "yokestall.toml")); err != nil || out != "" {
		t.Errorf("check of the written files: output %q, error %v; want neither", out, err)
	}
	clusters, err := os.ReadDir(filepath.Join(dir, "small", "clusters"))
	if err != nil || len(clusters) != 20 {
		t.Errorf("got %d cluster files, error %v; want 20 files", len(clusters), err)
	}
	_, err = run(t, "lab", "process", "--write", dir, "--size", "large", small)
	if !failsWith(err, `no size "large"`) {
		t.Errorf("--size large: error %v; want that the plan has no such size", err)
	}
	_, err = run(t, "lab", "process", filepath.Join(dir, "small", "yokestall.toml"))
	if !failsWith(err, "is no known key") {
		t.Errorf("configuration file as plan: error %v; want an unknown key", err)
	}
}
