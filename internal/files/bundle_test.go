package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const bundledProgram = "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[[class]]\nname = \"a\"\neffect = \"safe\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"a\"\ncluster = \"rooms\"\n"

const roomsList = "[cluster]\nname = \"rooms\"\n[[endpoint]]\nid = \"a\"\naddress = \"10.0.0.1:80\"\n[[endpoint]]\nid = \"b\"\naddress = \"10.0.0.2:80\"\n[end]\nendpoints = 2\n"

const roomsChange = "[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"a\"]\n[[endpoint]]\nid = \"c\"\naddress = \"10.0.0.3:80\"\n[end]\nendpoints = 1\n"

// Unbundle returns the configuration that Bundle read, with the changes applied in their order. It rejects a list of files
// that is not a valid version.
func TestBundle(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x.toml")
	if err := os.Mkdir(filepath.Join(dir, "c"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{path: bundledProgram, filepath.Join(dir, "c", "rooms.toml"): roomsList} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list, err := Bundle(path)
	if err != nil || len(list) != 2 || list[0].Name != ProgramPart || list[1].Name != "rooms.toml" {
		t.Fatalf("Bundle returned %v, error %v", list, err)
	}
	change := config.File{Name: ChangePart("rooms", 0), Text: []byte(roomsChange)}
	s, err := Unbundle(append(list, change))
	if err != nil || len(s.Version.Clusters["rooms"].Endpoints) != 2 || s.Version.Clusters["rooms"].Endpoints[1].ID != "c" {
		t.Errorf("after a change Unbundle returned %+v, error %v; want the endpoints b and c", s, err)
	}
	again := config.File{Name: ChangePart("rooms", 1), Text: []byte(roomsChange)}
	for _, tc := range []struct {
		list []config.File
		want string
	}{
		{append(list, change, again), "not in the list"}, {list[1:], "yokestall.toml: is missing from the version"}, {append(list, config.File{Name: "b.toml", Text: []byte(roomsList)}), "is already defined in rooms.toml"},
		{append(list, config.File{Name: "other+0001", Text: []byte(strings.Replace(roomsChange, "rooms", "suites", 1))}), "changes the cluster suites, which the version does not have"},
		{[]config.File{{Name: ProgramPart, Text: []byte(bundledProgram[:strings.Index(bundledProgram, "[[host]]")] + "[xds]\nfolder = \"x\"\n")}}, "can't follow a control plane"},
		{append(list, config.File{Name: "big.toml", Text: make([]byte, maxTotalBytes)}), "big.toml: the files of the version have over 67108864 bytes together"},
	} {
		if _, err := Unbundle(tc.list); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("Unbundle returned error %v, want one with %q", err, tc.want)
		}
	}
}

// Unbundle accepts or rejects any files, and each cluster of an accepted version is valid.
func FuzzUnbundle(f *testing.F) {
	f.Add(bundledProgram, roomsList, roomsChange)
	f.Add(bundledProgram, roomsList, "[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"a\", \"b\"]\n[end]\nendpoints = 0\n")
	f.Add("[listen]\n", "", "[end]\nendpoints = 0\n")
	f.Fuzz(func(t *testing.T, program, list, change string) {
		s, err := Unbundle([]config.File{{Name: ProgramPart, Text: []byte(program)}, {Name: "rooms.toml", Text: []byte(list)}, {Name: ChangePart("rooms", 0), Text: []byte(change)}})
		if err != nil {
			return
		}
		for name, c := range s.Version.Clusters {
			if err := c.Check(nil); err != nil || c.Name != name || s.Program.Table == nil {
				t.Fatalf("accepted cluster %s: check returned %v, or it has another name, or the version has no routes", name, err)
			}
		}
	})
}

// Unbundle only parses the files that neither of the two versions before had, and returns the same values for all others,
// including clusters with changes.
func TestUnbundleKeeps(t *testing.T) {
	other := strings.Replace(roomsList, "rooms", "suites", 1)
	settings := strings.Replace(bundledProgram, "1s", "2s", 1)
	bundle := func(program, list string, changes ...string) []config.File {
		files := []config.File{{Name: ProgramPart, Text: []byte(program)}, {Name: "rooms.toml", Text: []byte(list)}, {Name: "suites.toml", Text: []byte(other)}}
		for i, text := range changes {
			files = append(files, config.File{Name: ChangePart("rooms", i), Text: []byte(text)})
		}
		return files
	}
	var p Parser
	unbundle := func(list []config.File, parses int) *Configuration {
		t.Helper()
		before := p.parses()
		s, err := p.Unbundle(list)
		if err != nil {
			t.Fatal(err)
		}
		if n := p.parses() - before; n != parses {
			t.Errorf("Unbundle parsed %d files, want %d", n, parses)
		}
		return s
	}
	back := "[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"c\"]\n[end]\nendpoints = 0\n"
	first := unbundle(bundle(bundledProgram, roomsList, roomsChange), 4)
	second := unbundle(bundle(settings, roomsList, roomsChange), 1)
	if second.Program == first.Program || second.Version.Clusters["rooms"] != first.Version.Clusters["rooms"] || second.Version.Clusters["suites"] != first.Version.Clusters["suites"] {
		t.Error("after a change of the settings the program is the same value, or a cluster is another value")
	}
	extended, err := p.Change(second.Version.Clusters, []config.File{{Name: ChangePart("rooms", 1), Text: []byte(back)}})
	if err != nil || len(extended["rooms"].Endpoints) != 1 || extended["suites"] != second.Version.Clusters["suites"] {
		t.Fatalf("Change returned %+v, error %v; want one endpoint in rooms and an unchanged suites", extended, err)
	}
	third := unbundle(bundle(bundledProgram, roomsList, roomsChange, back), 1) // only the second change is parsed
	if third.Program != first.Program || third.Version.Clusters["rooms"] != extended["rooms"] {
		t.Error("Unbundle returned another program, or another cluster rooms than Change with the same changes")
	}
	if _, err := p.Unbundle(bundle(settings, "x")); err == nil {
		t.Error("a cluster file that is not complete is accepted")
	}
	longer := strings.Replace(roomsList, "10.0.0.1", "10.0.0.9", 1)
	if s := unbundle(bundle(bundledProgram, longer), 1); s.Program != first.Program || s.Version.Clusters["suites"] != first.Version.Clusters["suites"] || s.Version.Clusters["rooms"].Endpoints[0].Address != "10.0.0.9:80" {
		t.Errorf("after a rejected version Unbundle returned %+v; want the former program and suites, and a changed rooms", s)
	}
	for i := range 50 { // the values of these versions must not accumulate
		settings := strings.Replace(bundledProgram, "1s", fmt.Sprintf("%ds", 3+i), 1)
		unbundle(bundle(settings, roomsList, roomsChange), 1)
		for range 5 {
			clusters := map[string]*cluster.Config{"rooms": first.Version.Clusters["rooms"]}
			if _, err := p.Change(clusters, []config.File{{Name: ChangePart("rooms", 1), Text: []byte(back)}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := len(p.clusters.current) + len(p.clusters.last) + len(p.programs.current) + len(p.programs.last) +
		len(p.changed.current) + len(p.changed.last) + len(p.patches.current) + len(p.patches.last) + len(p.lastResults); n > 2*(2+1+1+1)+1 {
		t.Errorf("%d values are cached after 50 versions, want at most 11", n)
	}
}

// Two sequences of changes that differ only before their last change have different results. A cache key made of the last
// change alone would mix them up.
func TestOtherChanges(t *testing.T) {
	var p Parser
	put := func(id string, port int) string {
		return fmt.Sprintf("[cluster]\nname = \"rooms\"\nchange = true\n[[endpoint]]\nid = %q\naddress = \"10.0.1.1:%d\"\n[end]\nendpoints = 1\n", id, port)
	}
	for port := 80; port < 83; port++ {
		s, err := p.Unbundle([]config.File{{Name: ProgramPart, Text: []byte(bundledProgram)}, {Name: "rooms.toml", Text: []byte(roomsList)},
			{Name: ChangePart("rooms", 0), Text: []byte(put("c", port))}, {Name: ChangePart("rooms", 1), Text: []byte(put("d", 99))}})
		if err != nil || s.Version.Clusters["rooms"].Endpoints[2].Address != fmt.Sprint("10.0.1.1:", port) {
			t.Errorf("port %d: Unbundle returned %+v, error %v; want this port at the third endpoint", port, s, err)
		}
	}
}

// After many changes of one endpoint list, the parser caches only the result of the last one.
func TestChangesHoldOneList(t *testing.T) {
	var p Parser
	s, err := p.Unbundle([]config.File{{Name: ProgramPart, Text: []byte(bundledProgram)}, {Name: "rooms.toml", Text: []byte(roomsList)}})
	if err != nil {
		t.Fatal(err)
	}
	clusters := s.Version.Clusters
	for i := range 100 {
		text := fmt.Sprintf("[cluster]\nname = \"rooms\"\nchange = true\n[[endpoint]]\nid = \"c\"\naddress = \"10.0.1.%d:80\"\n[end]\nendpoints = 1\n", i)
		if clusters, err = p.Change(clusters, []config.File{{Name: ChangePart("rooms", i), Text: []byte(text)}}); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(p.changed.current) + len(p.changed.last) + len(p.patches.current) + len(p.patches.last) + len(p.lastResults); n != 1 {
		t.Errorf("%d values are cached after 100 changes, want 1", n)
	}
}
