package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The example files pass the check. A file with an invalid setting is reported by path and line, and serve rejects it too.
func TestCheck(t *testing.T) {
	example := filepath.Join("..", "..", "deploy", "yokestall.toml")
	if out, err := run(t, "check", example); err != nil || out != "" {
		t.Errorf("check of the example configuration: output %q, error %v; want neither", out, err)
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
	if !reportsFinding(out, err, bad+":", "attempts: 0 is not from 1 to 16") {
		t.Errorf("check of attempts = 0: output %q, error %v; want the file and the allowed range", out, err)
	}
	for _, name := range []string{"clusters", "endpoints", "routes"} {
		if out, err := run(t, "check", filepath.Join("..", "..", "deploy", "xds", name+".yaml")); err != nil {
			t.Errorf("check of the example in xDS form: output %q, error %v; want no error", out, err)
		}
	}
	if _, err := run(t, "check"); err == nil {
		t.Error("check without a file: no error; want one")
	}
	if _, err := run(t, "serve"); err == nil {
		t.Error("serve without a file: no error; want one")
	}
	if _, err := run(t, "serve", "-c", bad); !failsWith(err, "attempts") {
		t.Errorf("serve with attempts = 0: error %v; want one that names attempts", err)
	}
}

// A cluster file can be checked without the configuration file that refers to it.
func TestCheckClusterFile(t *testing.T) {
	rooms := filepath.Join("..", "..", "deploy", "clusters", "rooms.toml")
	if out, err := run(t, "check", rooms); err != nil || out != "" {
		t.Errorf("check of the example cluster file: output %q, error %v; want neither", out, err)
	}
	text, err := os.ReadFile(rooms)
	if err != nil {
		t.Fatal(err)
	}
	for from, want := range map[string]string{
		"weight = 2":    "endpoint 2 (app-2): weight: -2 is not from 0 to 1e+06",
		"endpoints = 2": "is not whole",
	} {
		changed := filepath.Join(t.TempDir(), "rooms.toml")
		wrong := strings.Replace(string(text), from, strings.Replace(from, "2", "-2", 1), 1)
		if err := os.WriteFile(changed, []byte(wrong), 0o644); err != nil {
			t.Fatal(err)
		}
		if out, err := run(t, "check", changed); !reportsFinding(out, err, changed+":", want) {
			t.Errorf("check with %s made negative: output %q, error %v; want the file and the reason", from, out, err)
		}
	}
}
