package files

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
)

const bundled = "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[[class]]\nname = \"a\"\neffect = \"safe\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"a\"\ncluster = \"rooms\"\n"

const roomsList = "[cluster]\nname = \"rooms\"\n[[endpoint]]\nid = \"a\"\naddress = \"10.0.0.1:80\"\n[[endpoint]]\nid = \"b\"\naddress = \"10.0.0.2:80\"\n[end]\nendpoints = 2\n"

const roomsChange = "[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"a\"]\n[[endpoint]]\nid = \"c\"\naddress = \"10.0.0.3:80\"\n[end]\nendpoints = 1\n"

// A folder's configuration goes through a bundle unchanged; changes count in their order, and what is no version is told.
func TestBundle(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x.toml")
	if err := os.Mkdir(filepath.Join(dir, "c"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{path: bundled, filepath.Join(dir, "c", "rooms.toml"): roomsList} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list, err := Bundle(path)
	if err != nil || len(list) != 2 || list[0].Name != ProgramPart || list[1].Name != "rooms.toml" {
		t.Fatalf("%v, %v", list, err)
	}
	change := config.File{Name: ChangePart("rooms", 0), Text: []byte(roomsChange)}
	s, err := Unbundle(append(list, change))
	if err != nil || len(s.Version.Clusters["rooms"].Endpoints) != 2 || s.Version.Clusters["rooms"].Endpoints[1].ID != "c" {
		t.Errorf("%+v, %v", s, err)
	}
	again := config.File{Name: ChangePart("rooms", 1), Text: []byte(roomsChange)}
	for _, tc := range []struct {
		list []config.File
		want string
	}{
		{append(list, change, again), "not in the list"}, {list[1:], "is missing"}, {append(list, config.File{Name: "b.toml", Text: []byte(roomsList)}), "is rooms.toml's too"},
		{append(list, config.File{Name: "other+0001", Text: []byte(strings.Replace(roomsChange, "rooms", "suites", 1))}), "there is no cluster suites"},
		{[]config.File{{Name: ProgramPart, Text: []byte(bundled[:strings.Index(bundled, "[[host]]")] + "[xds]\nfolder = \"x\"\n")}}, "can't follow a control plane"},
		{append(list, config.File{Name: "big.toml", Text: make([]byte, maxTotal)}), "in all files together"},
	} {
		if _, err := Unbundle(tc.list); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%v, want %q", err, tc.want)
		}
	}
}

// Whatever a version's files are, they are read or refused; what is read is whole.
func FuzzUnbundle(f *testing.F) {
	f.Add(bundled, roomsList, roomsChange)
	f.Add(bundled, roomsList, "[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"a\", \"b\"]\n[end]\nendpoints = 0\n")
	f.Add("[listen]\n", "", "[end]\nendpoints = 0\n")
	f.Fuzz(func(t *testing.T, program, list, change string) {
		s, err := Unbundle([]config.File{{Name: ProgramPart, Text: []byte(program)}, {Name: "rooms.toml", Text: []byte(list)}, {Name: ChangePart("rooms", 0), Text: []byte(change)}})
		if err != nil {
			return
		}
		for name, c := range s.Version.Clusters {
			if err := c.Check(nil); err != nil || c.Name != name || s.Program.Table == nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
	})
}
