package files

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// manualWatcher is a watched folder that a test polls by itself, with a clock of its own.
type manualWatcher struct {
	*fixture
	w     *Watcher
	now   time.Time
	stats int
}

// watchManually watches a folder until its stamps have settled.
func watchManually(f *fixture) *manualWatcher {
	f.t.Helper()
	r := &manualWatcher{fixture: f, now: time.Now()}
	var err error
	if r.w, _, err = Open(f.path, f.logs.Logger()); err != nil {
		f.t.Fatal(err)
	}
	r.w.reader.clock = func() time.Time { return r.now }
	r.w.reader.stat = func(name string) stamp {
		r.stats++
		return readStamp(name)
	}
	r.settle()
	return r
}

// settle has what stands in the folder read long enough after it was seen first.
func (r *manualWatcher) settle() {
	r.t.Helper()
	for range 2 {
		r.now = r.now.Add(stampSettleTime)
		r.w.poll(true)
	}
	if !r.w.reader.unchanged() {
		r.t.Fatal("the folder does not come to rest")
	}
}

// poll polls a second later.
func (r *manualWatcher) poll() *Configuration {
	r.now = r.now.Add(time.Second)
	return r.w.poll(true)
}

// awaitClockTick waits until the file system's clock has gone on, so that what is changed from now on has another stamp.
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
