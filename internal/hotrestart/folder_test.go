package hotrestart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/adminstate"
)

// A process joins a folder that has a record of another node or version or an unreadable one, files of dead
// processes, and unknown files.
func TestJoinWithLeftovers(t *testing.T) {
	foreign := []recordEntry{{1, adminstate.Change{Operation: adminstate.Detach, InstanceID: "s1", RequestedAtMs: 1}}}
	for name, text := range map[string]string{
		"another node": string(formatRecord("n9", foreign)),
		"a version":    "yokestall-record 2 \"n0\"\n",
		"noise":        "\x00\xff\n\n",
		"huge":         strings.Repeat("x", maxRecordBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			os.Mkdir(filepath.Join(dir, folderName), 0o700)
			for file, content := range map[string]string{
				recordNames[0]: text, recordNames[1]: text,
				"process-7": "junk", "process-x": "", "knowledge-7": "junk", "other": "",
			} {
				if err := os.WriteFile(filepath.Join(dir, folderName, file), []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p := join(t, dir)
			if p.state.Version() != 0 || p.Self().Number != 8 {
				t.Errorf("got state %+v, process number %d; want version 0, number 8", p.state, p.Self().Number)
			}
			if peers, err := p.Peers(); err != nil || len(peers) != 0 {
				t.Errorf("got peers %v, error %v; want neither", peers, err)
			}
			if err := p.commitChange(adminstate.Detach, "s1"); err != nil {
				t.Error(err)
			}
		})
	}
}
