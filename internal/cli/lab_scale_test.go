package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A page that parts from its files is told by its line, with exit code 1; one that doesn't is good; a page and a plan
// are not taken together.
func TestScaleCheck(t *testing.T) {
	dir := t.TempDir()
	page := filepath.Join(dir, "PAGE.md")
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Mkdir(filepath.Join(dir, "capacity"), 0o700); err != nil {
		t.Fatal(err)
	}
	write(filepath.Join(dir, "capacity", "plan.json"), `{"name": "plan", "numbers": {"nodes": 1900}}`)
	write(page, "# Page\n1,900 nodes<!-- fig: plan:nodes -->\n")
	if out, err := run(t, "lab", "scale", "--check", page); err != nil || !strings.HasSuffix(out, "its figures are those of the files\n") {
		t.Errorf("%q, %v", out, err)
	}
	write(page, "# Page\n1,800 nodes<!-- fig: plan:nodes -->\n")
	if out, err := run(t, "lab", "scale", "--check", page); !errors.Is(err, ErrReported) || !strings.HasPrefix(out, page+":2: the page has 1,800, and plan:nodes is 1900") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run(t, "lab", "scale", "--check", page, "plan.toml"); err == nil || errors.Is(err, ErrReported) {
		t.Error(err)
	}
	if _, err := run(t, "lab", "scale", filepath.Join(dir, "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Error(err)
	}
}
