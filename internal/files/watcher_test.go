package files

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yokestall/internal/config"
)

// The Watcher finds a change however the file is replaced: by rename, by two renames in a row, by an exchanged symbolic link to a
// folder, or, with a checksum, in place, slowly, or by removal and a new file.
func TestWaysToReplace(t *testing.T) {
	f := newFixture(t)
	if got := ports(f.watch()); got != "1 2 3 4" {
		t.Fatalf("the first version has the ports %q, want \"1 2 3 4\"", got)
	}
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3)) // replaced by rename
	f.awaitPorts("1 2 3")
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5)) // written in place
	f.awaitPorts("1 2 3 5")
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2)) // replaced twice within a second
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 6))
	f.awaitPorts("1 2 6")
	text := string(config.AddChecksum([]byte(clusterText("", 1, 2, 7)))) // written slowly, a few bytes at a time
	file, err := os.Create(f.roomsFile())
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(text); i += 9 {
		file.WriteString(text[i:min(i+9, len(text))])
		time.Sleep(4 * time.Millisecond)
	}
	file.Close()
	f.awaitPorts("1 2 7")
	if err := os.Remove(f.roomsFile()); err != nil { // removed and written again
		t.Fatal(err)
	}
	f.awaitLog("to remove a cluster, first say")
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 8))
	f.awaitPorts("1 2 8")
	// Exchange a symbolic link to a folder, as mounted configuration does.
	one, two := filepath.Join(t.TempDir(), "one"), filepath.Join(t.TempDir(), "two")
	for i, dir := range []string{one, two} {
		if err := os.Mkdir(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		f.writeFile(filepath.Join(dir, "rooms.toml"), clusterText("", 1, 2, 20+i))
	}
	link := filepath.Join(f.dir, "..data")
	for i, dir := range []string{one, two} {
		if err := os.Symlink(dir, link+".new"); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(link+".new", link); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := os.Remove(f.roomsFile()); err != nil {
				t.Fatal(err)
			}
			if err := os.Symlink(filepath.Join("..data", "rooms.toml"), f.roomsFile()); err != nil {
				t.Fatal(err)
			}
		}
		f.awaitPorts(fmt.Sprintf("1 2 %d", 20+i))
	}
}

// A version may remove most endpoints of a cluster if the cluster file sets shrink_to, and all of them if it sets no_servers.
// After no_servers the cluster's file may be removed.
func TestMeant(t *testing.T) {
	f := newFixture(t)
	f.watch()
	f.replaceFile(f.roomsFile(), clusterText("shrink_to = 1\n", 1))
	f.awaitPorts("1")
	f.replaceFile(f.roomsFile(), clusterText("no_servers = \"on purpose\"\n"))
	f.awaitPorts("")
	os.Remove(f.roomsFile())
	f.awaitPorts("none")
}

// A file that is replaced by the same bytes makes no new version. In a new version, an unchanged cluster is the same value.
func TestUnchanged(t *testing.T) {
	f := newFixture(t)
	first := f.watch()
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3, 4))
	f.awaitPolls(4)
	if len(f.versions) > 0 {
		t.Error("a version with unchanged contents is accepted")
	}
	f.replaceFile(filepath.Join(f.dir, "b.toml"), clusterText("", 7))
	s := f.awaitVersion()
	if s.Version.Clusters["rooms"] != first.Version.Clusters["rooms"] || s.Version.Clusters["b"] == nil {
		t.Errorf("clusters are %+v, want the same rooms as before and b", s.Version.Clusters)
	}
	if s.Version.Number != 2 {
		t.Errorf("version number is %d, want 2", s.Version.Number)
	}
}
