package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against dependencies of the product program that are linked into yokestall-node through a shared package. The
// smallest machine of a node has 32 MB, and gRPC with Envoy's types alone has about 10 MB resident at start.
func TestImportGraph(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	if len(deps) < 50 {
		t.Fatalf("go list -deps lists %d packages, want 50 or more", len(deps))
	}
	for _, dep := range deps {
		switch first, _, _ := strings.Cut(dep, "/"); {
		case !strings.Contains(first, "."): // the standard library and this module
		case strings.HasPrefix(dep, "github.com/pelletier/go-toml/v2"):
		default:
			t.Errorf("package %s is linked, want only the standard library, this module and go-toml", dep)
		}
		for _, own := range []string{"internal/app", "internal/cli", "internal/config", "internal/files", "internal/xds", "internal/downstream/extproc"} {
			if dep == "yokestall/"+own {
				t.Errorf("package %s is linked, want it in the product program only", dep)
			}
		}
	}
}
