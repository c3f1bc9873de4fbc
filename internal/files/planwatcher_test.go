package files

import (
	"log/slog"
	"testing"
	"time"

	"yokestall/internal/config"
)

// planWatcher watches files that are at rest.
func planWatcher(t testing.TB, path string) *Watcher {
	t.Helper()
	w, _, err := Open(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	w.reader.clock = func() time.Time { return time.Now().Add(2 * stampSettleTime) }
	w.poll(true)
	return w
}

// planUnbundle gives what reads the versions of a fleet, one after the other.
func planUnbundle() func([]config.File) (*Configuration, error) { return NewParser().Unbundle }
