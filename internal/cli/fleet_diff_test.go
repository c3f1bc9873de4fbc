package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
)

// fleet diff fails and prints the reason if the two configurations contradict, lists differences that don't contradict,
// and names a file that is invalid.
func TestFleetDiff(t *testing.T) {
	example := filepath.Join("..", "..", "deploy", "yokestall.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	clusters, err := filepath.Abs(filepath.Join("..", "..", "deploy", "clusters"))
	if err != nil {
		t.Fatal(err)
	}
	write := func(former, latter string) string {
		path := filepath.Join(t.TempDir(), "yokestall.toml")
		changed := strings.Replace(string(text), former, latter, 1)
		changed = strings.Replace(changed, `clusters = "clusters"`, `clusters = "`+clusters+`"`, 1)
		if err := os.WriteFile(path, config.AddChecksum([]byte(changed)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	same := write("", "")
	if out, err := run(t, "fleet", "diff", same, write("", "")); err != nil || out != "" {
		t.Errorf("diff of equal files: output %q, error %v; want neither", out, err)
	}
	out, err := run(t, "fleet", "diff", same, write("attempts = 3", "attempts = 2"))
	if err != nil || !strings.HasPrefix(out, "differs     attempts") {
		t.Errorf("diff of attempts: output %q, error %v; want a difference and no error", out, err)
	}
	out, err = run(t, "fleet", "diff", same, write(`window = "6s"`, `window = "9s"`))
	if !reportsFinding(out, err, "", "CONTRADICTS deduplication window of a class: booking-push: 6s to 9s (rule 2") {
		t.Errorf("diff of window: output %q, error %v; want a contradiction and ErrReported", out, err)
	}
	bad := write("attempts = 3", "attempts = 0")
	if _, err := run(t, "fleet", "diff", same, bad); !failsWith(err, bad+":") {
		t.Errorf("diff with an invalid file: error %v; want one that begins with the file's path", err)
	}
}
