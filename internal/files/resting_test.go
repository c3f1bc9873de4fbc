package files

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// manualWatcher is a fixture with a Watcher that the test polls itself, at times that the test sets.
type manualWatcher struct {
	*fixture
	w     *Watcher
	now   time.Time
	stats int // number of stats so far
}

// watchManually opens a Watcher of a fixture and polls until the stamps have settled.
func watchManually(f *fixture) *manualWatcher {
	f.t.Helper()
	r := &manualWatcher{fixture: f, now: time.Now()}
	var err error
	if r.w, _, err = Open(f.path, f.logs.Logger()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.w.Close)
	r.w.reader.clock = func() time.Time { return r.now }
	r.w.reader.stat = func(name string) stamp {
		r.stats++
		return readStamp(name)
	}
	r.settle()
	return r
}

// settle polls until the present stamps have settled, so that a further poll reads nothing unless a stamp changes.
func (r *manualWatcher) settle() {
	r.t.Helper()
	for range 2 {
		r.now = r.now.Add(stampSettleTime)
		r.w.poll(true)
	}
	if !r.w.reader.unchanged() {
		r.t.Fatal("files count as changed after twice stampSettleTime")
	}
}

// poll advances the clock by a second and polls as by the timer.
func (r *manualWatcher) poll() *Configuration {
	r.now = r.now.Add(time.Second)
	return r.w.poll(true)
}

// awaitClockTick waits until the file system's clock has advanced, so that a change from now on gives a file another stamp.
func awaitClockTick(t testing.TB) {
	t.Helper()
	probe := filepath.Join(t.TempDir(), "probe")
	touch := func() time.Time {
		if err := os.WriteFile(probe, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(probe)
		if err != nil {
			t.Fatal(err)
		}
		return info.ModTime()
	}
	first := touch()
	next := touch()
	for next.Equal(first) {
		next = touch()
	}
}

// must ends the test at the first error.
func must(t testing.TB, errs ...error) {
	t.Helper()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
}
