package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An edit of a file with a checksum is rejected until `seal` says that it is meant. No part of the example passes the check. `check`
// names the files without a checksum. Guards against parts of files that are taken as versions (review/8).
func TestSeal(t *testing.T) {
	dir := t.TempDir()
	path, list := filepath.Join(dir, "yokestall.toml"), filepath.Join(dir, "clusters", "rooms.toml")
	if err := os.Mkdir(filepath.Dir(list), 0o755); err != nil {
		t.Fatal(err)
	}
	for to, name := range map[string]string{path: "yokestall.toml", list: "clusters/rooms.toml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		text = bytes.Replace(text, []byte("aim = \"750ms\""), []byte("aim = \"800ms\""), 1)
		if err := os.WriteFile(to, text, 0o640); err != nil {
			t.Fatal(err)
		}
	}
	const mismatch = "is not whole: the checksum is not that of the lines below"
	if out, err := run(t, "check", path); !reportsFinding(out, err, path+":1:", mismatch) {
		t.Errorf("check of an edited file: output %q, error %v; want the checksum's problem", out, err)
	}
	if out, err := run(t, "seal", path); err != nil || out != "" {
		t.Fatalf("seal: output %q, error %v; want neither", out, err)
	}
	if out, err := run(t, "check", path); err != nil || out != "" {
		t.Errorf("check of a sealed file: output %q, error %v; want neither", out, err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("the sealed file is %v, error %v; want the mode of before", info, err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(whole), "\n")
	for n := range len(lines) - 1 {
		if err := os.WriteFile(path, []byte(strings.Join(lines[:n], "")), 0o640); err != nil {
			t.Fatal(err)
		}
		if _, err := run(t, "check", path); err == nil {
			t.Errorf("check takes the first %d of %d lines of the example", n, len(lines))
		}
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines[1:], "")), 0o640); err != nil {
		t.Fatal(err)
	}
	var notes bytes.Buffer
	c := New(&notes, &notes)
	c.SetArgs([]string{"check", path})
	if err := c.Execute(); err != nil || !strings.Contains(notes.String(), "1 of 2 files without a checksum: "+path) {
		t.Errorf("check of a file without a checksum: output %q, error %v; want it named", notes.String(), err)
	}
	if err := os.WriteFile(path, []byte(lines[0]+"[listen]\n"), 0o640); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, "seal", path); !reportsFinding(out, err, path+":", "address") {
		t.Errorf("seal of an invalid file: output %q, error %v; want its problem", out, err)
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 2 {
		t.Errorf("the folder has %v, error %v; want the file and the folder alone", entries, err)
	}
}
