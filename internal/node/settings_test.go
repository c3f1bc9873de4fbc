package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Settings that the file leaves out keep their values. A file with an error changes nothing, and the error names the file and
// what is wrong.
func TestApplySettings(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]struct {
		part float64
		err  string
	}{
		"":                                {0.5, ""},
		"[clients]\npart = 0.25\n":        {0.25, ""},
		"[clients]\npart = 1\n":           {1, ""},
		"[clients]\npart = 0.05\n":        {0.5, "clients.part: 0.05"},
		"[clients]\npart = nan\n":         {0.5, "clients.part: NaN"},
		"[clients]\npart = inf\n":         {0.5, "clients.part: +Inf"},
		"[clients]\n\npart = \"much\"\n":  {0.5, "3:8"},
		"[clients\npart = 0.2\n":          {0.5, "1:9"},
		"#" + strings.Repeat("x", 64<<10): {0.5, "over 65536 bytes"},
	} {
		path := filepath.Join(t.TempDir(), "node.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := &Config{ClientShare: 0.5}
		err := c.ApplySettings(path)
		name := text[:min(len(text), 40)]
		named := err != nil && strings.Contains(err.Error(), want.err) && strings.Contains(err.Error(), path)
		switch {
		case want.err == "" && err != nil:
			t.Errorf("%q: got error %v, want none", name, err)
		case want.err != "" && !named:
			t.Errorf("%q: got error %v, want %q and the file's path", name, err, want.err)
		}
		if c.ClientShare != want.part {
			t.Errorf("%q: got clients.part %v, want %v", name, c.ClientShare, want.part)
		}
	}
	c := &Config{}
	if err := c.ApplySettings(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("got no error for a missing file")
	}
	if err := c.ApplySettings("../../deploy/node.toml"); err != nil || c.ClientShare < 0.333 || c.ClientShare > 0.334 {
		t.Errorf("example file: got clients.part %v, error %v, want a third", c.ClientShare, err)
	}
}
