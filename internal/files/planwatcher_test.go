package files

import (
	"log/slog"
	"testing"
	"time"

	"yokestall/internal/config"
)

// planWatcher returns a Watcher of files whose stamps have settled.
func planWatcher(t testing.TB, path string) *Watcher {
	t.Helper()
	w, _, err := Open(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	w.reader.clock = func() time.Time { return time.Now().Add(2 * stampSettleTime) }
	w.poll(true)
	return w
}

// planUnbundle returns a function that parses successive versions of a fleet with one Parser.
func planUnbundle() func([]config.File) (*Configuration, error) { return NewParser().Unbundle }
