package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The node's smallest machine has 32 MB. Dependencies of the product program (gRPC with Envoy's types is about
// 10 MB resident at start) must not be linked through a shared package.
func TestImportGraph(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	if len(deps) < 50 {
		t.Fatalf("only %d packages are listed", len(deps))
	}
	for _, dep := range deps {
		switch first, _, _ := strings.Cut(dep, "/"); {
		case !strings.Contains(first, "."): // the standard library and our own
		case strings.HasPrefix(dep, "github.com/pelletier/go-toml/v2"):
		default:
			t.Errorf("%s is linked", dep)
		}
		for _, own := range []string{"internal/app", "internal/cli", "internal/config", "internal/files", "internal/xds", "internal/downstream/extproc"} {
			if dep == "yokestall/"+own {
				t.Errorf("%s is linked: it serves the product program", dep)
			}
		}
	}
}
