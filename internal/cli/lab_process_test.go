package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files of a plan's sizes are only written where one says so, and what is written is taken.
func TestLabProcessWrites(t *testing.T) {
	small, dir := filepath.Join("..", "..", "deploy", "lab", "process", "small.toml"), t.TempDir()
	out, err := run(t, "lab", "process", "--write", dir, small)
	if err != nil || !strings.Contains(out, "20 services, 10 servers each, 560 routes, 500 tenants") {
		t.Fatalf("%q, %v", out, err)
	}
	if out, err := run(t, "check", filepath.Join(dir, "small", "yokestall.toml")); err != nil || out != "" {
		t.Errorf("%q, %v", out, err)
	}
	clusters, err := os.ReadDir(filepath.Join(dir, "small", "clusters"))
	if err != nil || len(clusters) != 20 {
		t.Errorf("%d cluster files, %v", len(clusters), err)
	}
	_, err = run(t, "lab", "process", "--write", dir, "--size", "large", small)
	if !failsWith(err, `no size "large"`) {
		t.Errorf("a size that is not there: %v", err)
	}
	_, err = run(t, "lab", "process", filepath.Join(dir, "small", "yokestall.toml"))
	if !failsWith(err, "is no known key") {
		t.Errorf("a file that is no plan: %v", err)
	}
}
