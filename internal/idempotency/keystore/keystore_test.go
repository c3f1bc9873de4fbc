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

// futureExpiry is the end of windows that do not end while a test runs.
var futureExpiry = time.Now().Add(time.Hour).Truncate(time.Microsecond)

// keyN returns the key with number i.
func keyN(i int) idempotency.Key { return idempotency.Key{Tenant: i % 3, Name: fmt.Sprint("key ", i)} }

// openLog opens a log and returns the known keys: for each name, whether the request was answered.
func openLog(t interface{ Fatal(...any) }, path string, now time.Time, wrap func(File) File) (*Log, map[string]bool) {
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

// writeTestLog writes a log with four keys and returns its content. Keys 0 to 2 complete as answered, rejected and
// indeterminate; the request of key 3 only starts.
func writeTestLog(t *testing.T, path string) []byte {
	l, _ := openLog(t, path, time.Now(), nil)
	completions := []idempotency.Completion{idempotency.Answered, idempotency.Rejected, idempotency.Indeterminate}
	for i, completion := range completions {
		if err := l.RecordStart(keyN(i), idempotency.Fingerprint{byte(i)}, futureExpiry); err != nil {
			t.Fatal(err)
		}
		l.RecordCompletion(keyN(i), completion)
	}
	if err := errors.Join(l.RecordStart(keyN(3), idempotency.Fingerprint{3}, futureExpiry), l.Close()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a log that loses a key at a restart, returns a key that was rejected or has expired, or returns other keys
// after Open has compacted the file.
func TestKnownAfterRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	writeTestLog(t, path)
	want := map[string]bool{"key 0": true, "key 2": false, "key 3": false}
	for range 2 { // the second Open reads the file that the first one has compacted
		l, got := openLog(t, path, time.Now(), nil)
		if l.Close(); !maps.Equal(got, want) {
			t.Errorf("got known keys %v, want %v", got, want)
		}
	}
	l, got := openLog(t, path, futureExpiry, nil)
	if l.Close(); len(got) > 0 {
		t.Errorf("got known keys %v after the end of their windows, want none", got)
	}
}

// Guards against a torn write that loses an earlier record: the file is truncated at each byte, and each key whose start was
// written completely before that byte must be known, except key 1, which may have been rejected.
func TestCutAtEachByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	data := writeTestLog(t, path)
	starts := map[int]string{}
	for at := len(magic); at < len(data); {
		r, ok := decode(data[at:])
		if !ok {
			t.Fatalf("found no valid record at byte %d", at)
		}
		if at += int(r.size()); r.kind == started {
			starts[at] = r.key.Name
		}
	}
	for n := range len(data) {
		if err := os.WriteFile(path, data[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		l, got := openLog(t, path, time.Now(), nil)
		l.Close()
		for end, name := range starts {
			if _, known := got[name]; end <= n && !known && name != "key 1" {
				t.Fatalf("truncated to %d of %d bytes: %s is not known although its start ended at byte %d", n, len(data), name, end)
			}
		}
	}
}

// Guards against damage that Open does not detect. With one bit flipped in each byte in turn, Open must return an error,
// or, if the bit is in the last record, lose that record only.
func TestBitFlippedAtEachByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	data := writeTestLog(t, path)
	last := len(data) - int((&record{key: keyN(3)}).size())
	for at := range data {
		flipped := append([]byte{}, data...)
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
			t.Fatalf("bit flipped in byte %d of %d: Open accepted the file with %d known keys", at, len(data), len(known))
		}
	}
}

// faultyFile is a file whose writes or fsyncs fail after a number of calls.
type faultyFile struct {
	File
	writesLeft, syncsLeft int  // calls that will succeed
	shortWrite            bool // a failing write writes half of its bytes first
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.writesLeft--; f.writesLeft < 0 {
		if f.shortWrite {
			n, _ := f.File.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
		return 0, syscall.EIO
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.syncsLeft--; f.syncsLeft < 0 {
		return syscall.EIO
	}
	return f.File.Sync()
}

// Guards against a log that reports a start as durable after a full disk, a write error or a failed fsync, even if the disk
// has recovered since, and against the loss of starts that were reported as durable before.
func TestNothingIsClaimedAfterAnError(t *testing.T) {
	for name, f := range map[string]*faultyFile{
		"full disk":    {writesLeft: 3, syncsLeft: 100, shortWrite: true},
		"write error":  {writesLeft: 3, syncsLeft: 100},
		"failed fsync": {writesLeft: 100, syncsLeft: 3},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			l, _ := openLog(t, path, time.Now(), func(file File) File { f.File = file; return f })
			claimed := map[string]bool{}
			failed := 0
			for i := range 8 {
				if err := l.RecordStart(keyN(i), idempotency.Fingerprint{}, futureExpiry); err != nil {
					failed++
					f.writesLeft, f.syncsLeft = 100, 100 // the disk has recovered
				} else if claimed[keyN(i).Name] = true; failed > 0 {
					t.Errorf("RecordStart of key %d succeeded after an earlier error", i)
				}
			}
			if err := l.Close(); err == nil || failed == 0 {
				t.Errorf("%d calls of RecordStart failed and Close returned %v, want an error from both", failed, err)
			}
			l, got := openLog(t, path, time.Now(), nil)
			l.Close()
			for key := range claimed {
				if _, known := got[key]; !known {
					t.Errorf("%s was reported as durable but is not known after a restart", key)
				}
			}
		})
	}
}

// Guards against a log that is opened twice at a time, that accepts records after Close, or that replaces a file of another
// kind.
func TestOneProcessAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	l, _ := openLog(t, path, time.Now(), nil)
	if _, _, err := Open(path, time.Now(), nil); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open: got error %v, want ErrLocked", err)
	}
	l.Close()
	if err := l.RecordStart(keyN(1), idempotency.Fingerprint{}, futureExpiry); !errors.Is(err, ErrClosed) {
		t.Errorf("RecordStart after Close: got error %v, want ErrClosed", err)
	}
	if err := os.WriteFile(path, []byte("something else entirely"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, time.Now(), nil); err == nil {
		t.Error("Open accepted a file that is not a log")
	}
}

// Guards against one fsync for each record, and against a file that grows without bound under keys that are rejected:
// concurrent callers must share fsyncs, and compaction must keep the file small compared with the number of bytes written.
func TestCommitsTogetherAndCompacts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var syncs counter
	l, _ := openLog(t, path, time.Now(), func(f File) File { return &countingFile{f, &syncs} })
	const callers, each = 64, 200
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range each {
				key := idempotency.Key{Tenant: c, Name: fmt.Sprint(i, " ", string(make([]byte, 200)))}
				if err := l.RecordStart(key, idempotency.Fingerprint{}, futureExpiry); err != nil {
					t.Error(err)
				}
				l.RecordCompletion(key, idempotency.Rejected)
			}
		})
	}
	wg.Wait()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() > compactMinBytes+maxQueuedRecords*maxTestRecordBytes {
		t.Errorf("the file has %d bytes (error %v), more than compaction allows", info.Size(), err)
	}
	if n := syncs.value(); n > callers*each/2 {
		t.Errorf("got %d fsyncs for %d starts, want at most one for two starts", n, callers*each)
	}
}

// maxTestRecordBytes is an upper bound of the size of a record in TestCommitsTogetherAndCompacts.
const maxTestRecordBytes = headerBytes + fixedContentBytes + 210

// counter is an integer that is safe for concurrent use.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// countingFile is a file that counts its fsyncs.
type countingFile struct {
	File
	n *counter
}

func (c *countingFile) Sync() error {
	c.n.mu.Lock()
	c.n.n++
	c.n.mu.Unlock()
	return c.File.Sync()
}

// Compares the log with a map over random sequences of starts, completions and restarts.
func TestAgainstAModel(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(dir, fmt.Sprint(run))
		l, _ := openLog(t, path, time.Now(), nil)
		model := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := idempotency.Key{Name: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))}
			_, known := model[key.Name]
			switch operation := rapid.IntRange(0, 4).Draw(t, "operation"); {
			case operation == 4:
				l.Close()
				var got map[string]bool
				if l, got = openLog(t, path, time.Now(), nil); !maps.Equal(got, model) {
					t.Fatalf("got known keys %v, want %v", got, model)
				}
			case operation == 3:
				if err := l.RecordStart(key, idempotency.Fingerprint{}, futureExpiry); err != nil {
					t.Fatal(err)
				}
				model[key.Name] = false
			case known:
				completion := idempotency.Completion(operation)
				l.RecordCompletion(key, completion)
				if model[key.Name] = completion == idempotency.Answered; completion == idempotency.Rejected {
					delete(model, key.Name)
				}
			}
		}
		l.Close()
	})
}

// Guards against input for which decode panics or returns a record that differs when it is encoded and decoded again.
func FuzzParse(f *testing.F) {
	f.Add((&record{kind: started, key: keyN(1), expiresAt: futureExpiry}).append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, ok := decode(b); ok {
			if again, ok := decode(r.append(nil)); !ok || again.key != r.key || !again.expiresAt.Equal(r.expiresAt) {
				t.Errorf("decoded record %+v reads back as %+v after encoding", r, again)
			}
		}
	})
}
