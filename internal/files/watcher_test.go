package files

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestWaysToReplace(t *testing.T) {
	f := newFixture(t)
	if got := ports(f.watch()); got != "1 2 3 4" {
		t.Fatalf("first %q", got)
	}
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3)) // renamed over
	f.awaitPorts("1 2 3")
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5)) // in place
	f.awaitPorts("1 2 3 5")
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2)) // twice within a second
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 6))
	f.awaitPorts("1 2 6")
	text := clusterText("", 1, 2, 7) // slowly, a few bytes at a time
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
	if err := os.Remove(f.roomsFile()); err != nil { // deleted and written again
		t.Fatal(err)
	}
	f.awaitLog("to remove a cluster, first say")
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 8))
	f.awaitPorts("1 2 8")
	// A link to a folder that is exchanged, as mounted configuration does.
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

// Where the same bytes are written again nothing is taken, and a cluster that stays the
// same is the same.
func TestUnchanged(t *testing.T) {
	f := newFixture(t)
	first := f.watch()
	f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3, 4))
	f.awaitPolls(4)
	if len(f.versions) > 0 {
		t.Error("a version with nothing new is taken")
	}
	f.writeFile(filepath.Join(f.dir, "b.toml"), clusterText("", 7))
	s := f.awaitVersion()
	if s.Version.Clusters["rooms"] != first.Version.Clusters["rooms"] || s.Version.Clusters["b"] == nil {
		t.Errorf("clusters %+v", s.Version.Clusters)
	}
	if s.Version.Number != 2 {
		t.Errorf("version %d", s.Version.Number)
	}
}
