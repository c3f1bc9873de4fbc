package keystore

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"yokestall/internal/idempotency"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var far = time.Now().Add(time.Hour).Truncate(time.Microsecond)

func named(i int) idempotency.Key { return idempotency.Key{Tenant: i % 3, Name: fmt.Sprint("key ", i)} }

// open opens a log and gives what it knows: whether each key was answered.
func open(t interface{ Fatal(...any) }, path string, now time.Time, wrap func(File) File) (*Log, map[string]bool) {
	l, known, err := Open(path, now, wrap)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]bool{}
	for _, k := range known {
		got[k.Key.Name] = k.Answered
	}
	return l, got
}

// fill writes four keys: answered, rejected, indeterminate, and one that only starts.
func fill(t *testing.T, path string) []byte {
	l, _ := open(t, path, time.Now(), nil)
	completions := []idempotency.Completion{idempotency.Answered, idempotency.Rejected, idempotency.Indeterminate}
	for i, how := range completions {
		if err := l.RecordStart(named(i), idempotency.Fingerprint{byte(i)}, far); err != nil {
			t.Fatal(err)
		}
		l.RecordCompletion(named(i), how)
	}
	if err := errors.Join(l.RecordStart(named(3), idempotency.Fingerprint{3}, far), l.Close()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestKnownAfterRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	fill(t, path)
	want := map[string]bool{"key 0": true, "key 2": false, "key 3": false}
	for range 2 { // the second time from what the first wrote anew
		l, got := open(t, path, time.Now(), nil)
		if l.Close(); !maps.Equal(got, want) {
			t.Errorf("knows %v, want %v", got, want)
		}
	}
	l, got := open(t, path, far, nil)
	if l.Close(); len(got) > 0 {
		t.Errorf("knows %v after the windows' end", got)
	}
}

// Cut at each byte: what was durable before the cut is known, in the order in which it was written.
func TestCutAtEachByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	text := fill(t, path)
	starts := map[int]string{}
	for at := len(magic); at < len(text); {
		r, ok := decode(text[at:])
		if !ok {
			t.Fatalf("no record at %d", at)
		}
		if at += int(r.size()); r.kind == started {
			starts[at] = r.key.Name
		}
	}
	for n := range len(text) {
		if err := os.WriteFile(path, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		l, got := open(t, path, time.Now(), nil)
		l.Close()
		for end, name := range starts {
			if _, known := got[name]; end <= n && !known && name != "key 1" {
				t.Fatalf("cut after %d of %d bytes: %s is not known, its start was complete at %d", n, len(text), name, end)
			}
		}
	}
}

// A flipped bit anywhere: an error, or nothing is lost but the record that it is in, at the end.
func TestBitFlippedAtEachByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	text := fill(t, path)
	last := len(text) - int((&record{key: named(3)}).size())
	for at := range text {
		flipped := append([]byte{}, text...)
		flipped[at] ^= 1 << (at % 8)
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		l, known, err := Open(path, time.Now(), nil)
		if err != nil {
			continue
		}
		l.Close()
		if at < last || len(known) != 2 {
			t.Fatalf("bit at %d of %d: accepted, %d known", at, len(text), len(known))
		}
	}
}

// faulty is a file whose writes or fsyncs begin to fail.
type faulty struct {
	File
	writes, syncs int // that still go well
	short         bool
}

func (f *faulty) Write(p []byte) (int, error) {
	if f.writes--; f.writes < 0 {
		if f.short {
			n, _ := f.File.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
		return 0, syscall.EIO
	}
	return f.File.Write(p)
}

func (f *faulty) Sync() error {
	if f.syncs--; f.syncs < 0 {
		return syscall.EIO
	}
	return f.File.Sync()
}

// A full disk or a failed fsync: nothing is claimed as durable from then on, also if the disk
// recovers, and what was claimed before is there.
func TestNothingIsClaimedAfterAnError(t *testing.T) {
	for name, f := range map[string]*faulty{
		"full disk":    {writes: 3, syncs: 100, short: true},
		"write error":  {writes: 3, syncs: 100},
		"failed fsync": {writes: 100, syncs: 3},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			l, _ := open(t, path, time.Now(), func(file File) File { f.File = file; return f })
			claimed := map[string]bool{}
			failed := 0
			for i := range 8 {
				if err := l.RecordStart(named(i), idempotency.Fingerprint{}, far); err != nil {
					failed++
					f.writes, f.syncs = 100, 100 // the disk has recovered
				} else if claimed[named(i).Name] = true; failed > 0 {
					t.Errorf("%d is claimed after an error", i)
				}
			}
			if err := l.Close(); err == nil || failed == 0 {
				t.Errorf("%d failed, closed with %v", failed, err)
			}
			l, got := open(t, path, time.Now(), nil)
			l.Close()
			for key := range claimed {
				if _, known := got[key]; !known {
					t.Errorf("%s was claimed and is not known", key)
				}
			}
		})
	}
}

func TestOneProcessAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	l, _ := open(t, path, time.Now(), nil)
	if _, _, err := Open(path, time.Now(), nil); !errors.Is(err, ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	l.Close()
	if err := l.RecordStart(named(1), idempotency.Fingerprint{}, far); !errors.Is(err, ErrClosed) {
		t.Errorf("after the close: %v", err)
	}
	if err := os.WriteFile(path, []byte("something else entirely"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, time.Now(), nil); err == nil {
		t.Error("another file is taken for a log")
	}
}

// Many callers at once share writes, and the file stays small beside what went through it.
func TestCommitsTogetherAndCompacts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var syncs counted
	l, _ := open(t, path, time.Now(), func(f File) File { return &counting{f, &syncs} })
	const callers, each = 64, 200
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for i := range each {
				key := idempotency.Key{Tenant: c, Name: fmt.Sprint(i, " ", string(make([]byte, 200)))}
				if err := l.RecordStart(key, idempotency.Fingerprint{}, far); err != nil {
					t.Error(err)
				}
				l.RecordCompletion(key, idempotency.Rejected)
			}
		})
	}
	all.Wait()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() > compactMinBytes+maxQueued*maxRecordHere {
		t.Errorf("%d bytes, %v", info.Size(), err)
	}
	if n := syncs.value(); n > callers*each/2 {
		t.Errorf("%d fsyncs for %d starts: nothing is committed together", n, callers*each)
	}
}

const maxRecordHere = headerBytes + fixedBytes + 210

type counted struct {
	mu sync.Mutex
	n  int
}

func (c *counted) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

type counting struct {
	File
	n *counted
}

func (c *counting) Sync() error {
	c.n.mu.Lock()
	c.n.n++
	c.n.mu.Unlock()
	return c.File.Sync()
}

// Drawn histories with restarts against a plain map.
func TestAgainstAModel(t *testing.T) {
	folder := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(folder, fmt.Sprint(run))
		l, _ := open(t, path, time.Now(), nil)
		model := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := idempotency.Key{Name: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))}
			_, known := model[key.Name]
			switch how := rapid.IntRange(0, 4).Draw(t, "what"); {
			case how == 4:
				l.Close()
				var got map[string]bool
				if l, got = open(t, path, time.Now(), nil); !maps.Equal(got, model) {
					t.Fatalf("knows %v, want %v", got, model)
				}
			case how == 3:
				if err := l.RecordStart(key, idempotency.Fingerprint{}, far); err != nil {
					t.Fatal(err)
				}
				model[key.Name] = false
			case known:
				completion := idempotency.Completion(how)
				l.RecordCompletion(key, completion)
				if model[key.Name] = completion == idempotency.Answered; completion == idempotency.Rejected {
					delete(model, key.Name)
				}
			}
		}
		l.Close()
	})
}

func FuzzParse(f *testing.F) {
	f.Add((&record{kind: started, key: named(1), expiresAt: far}).append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, ok := decode(b); ok {
			if again, ok := decode(r.append(nil)); !ok || again.key != r.key || !again.expiresAt.Equal(r.expiresAt) {
				t.Errorf("%+v reads back as %+v", r, again)
			}
		}
	})
}
