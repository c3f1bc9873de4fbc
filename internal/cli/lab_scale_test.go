package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// --check passes a page whose figures equal those of the files, and reports a different figure with its line. A page
// together with a plan, and a plan that does not exist, are rejected.
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
		t.Errorf("check of an equal page: output %q, error %v; want no error", out, err)
	}
	write(page, "# Page\n1,800 nodes<!-- fig: plan:nodes -->\n")
	out, err = run(t, "lab", "scale", "--check", page)
	if !reportsFinding(out, err, page+":2: the page has 1,800, but plan:nodes is 1900", "") {
		t.Errorf("check of a different page: output %q, error %v; want line 2 and both figures", out, err)
	}
	if _, err := run(t, "lab", "scale", "--check", page, "plan.toml"); err == nil || errors.Is(err, ErrReported) {
		t.Error(err)
	}
	if _, err := run(t, "lab", "scale", filepath.Join(dir, "none.toml")); !failsWith(err, "none.toml") {
		t.Error(err)
	}
}
