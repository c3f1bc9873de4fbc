package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The examples pass; a file with a fault is reported by its line, and serve rejects it too.
func TestCheck(t *testing.T) {
	example := filepath.Join("..", "..", "deploy", "yokestall.toml")
	if out, err := run(t, "check", example); err != nil || out != "" {
		t.Errorf("the example: %q, %v", out, err)
	}
	bad := filepath.Join(t.TempDir(), "yokestall.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	wrong := strings.Replace(string(text), "attempts = 3", "attempts = 0", 1)
	if err := os.WriteFile(bad, []byte(wrong), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, "check", example, bad)
	if !reports(out, err, bad+":", "attempts: 0 is not from 1 to 16") {
		t.Errorf("%q, %v", out, err)
	}
	for _, name := range []string{"clusters", "endpoints", "routes"} {
		if out, err := run(t, "check", filepath.Join("..", "..", "deploy", "xds", name+".yaml")); err != nil {
			t.Errorf("the example in xDS form: %q, %v", out, err)
		}
	}
	if _, err := run(t, "check"); err == nil {
		t.Error("check of nothing gives no error")
	}
	if _, err := run(t, "serve"); err == nil {
		t.Error("serve without a file gives no error")
	}
	if _, err := run(t, "serve", "-c", bad); !failsWith(err, "attempts") {
		t.Errorf("serve of a bad file: %v", err)
	}
}

// A cluster file alone is checked as such.
func TestCheckClusterFile(t *testing.T) {
	rooms := filepath.Join("..", "..", "deploy", "clusters", "rooms.toml")
	if out, err := run(t, "check", rooms); err != nil || out != "" {
		t.Errorf("the example of a cluster: %q, %v", out, err)
	}
	text, err := os.ReadFile(rooms)
	if err != nil {
		t.Fatal(err)
	}
	for from, want := range map[string]string{
		"weight = 2":    "endpoint 2 (app-2): weight: -2 is not from 0 to 1e+06",
		"endpoints = 2": "is not whole",
	} {
		cut := filepath.Join(t.TempDir(), "rooms.toml")
		wrong := strings.Replace(string(text), from, strings.Replace(from, "2", "-2", 1), 1)
		if err := os.WriteFile(cut, []byte(wrong), 0o644); err != nil {
			t.Fatal(err)
		}
		if out, err := run(t, "check", cut); !reports(out, err, cut+":", want) {
			t.Errorf("%s: %q, %v", from, out, err)
		}
	}
}
