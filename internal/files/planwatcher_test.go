package files

import (
	"log/slog"
	"testing"
	"time"
)

// planWatcher watches files that are at rest.
func planWatcher(t testing.TB, path string) *Watcher {
	t.Helper()
	w, _, err := Open(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	w.reader.clock = func() time.Time { return time.Now().Add(2 * settle) }
	w.look(true)
	return w
}
