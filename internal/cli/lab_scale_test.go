package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A page that differs from its files is reported by its line, with exit code 1; one that doesn't passes; a page and a
// plan are not accepted together.
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
	out, err := run(t, "lab", "scale", "--check", page)
	if err != nil || !strings.HasSuffix(out, "its figures are those of the files\n") {
		t.Errorf("%q, %v", out, err)
	}
	write(page, "# Page\n1,800 nodes<!-- fig: plan:nodes -->\n")
	out, err = run(t, "lab", "scale", "--check", page)
	if !reports(out, err, page+":2: the page has 1,800, and plan:nodes is 1900", "") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run(t, "lab", "scale", "--check", page, "plan.toml"); err == nil || errors.Is(err, ErrReported) {
		t.Error(err)
	}
	if _, err := run(t, "lab", "scale", filepath.Join(dir, "none.toml")); !failsWith(err, "none.toml") {
		t.Error(err)
	}
}
