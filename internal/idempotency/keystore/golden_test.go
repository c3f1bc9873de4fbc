package keystore

import (
	"bytes"
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"yokestall/internal/idempotency"
)

// goldenFile is a log that an earlier version of the program wrote. Logs outlive the version that wrote them, so their format
// must not change.
const goldenFile = "testdata/golden/keys.log"

// goldenKnown returns the keys that Open reads from the golden file, sorted by name. The key that was rejected is not one of
// them.
func goldenKnown() []KnownKey {
	return []KnownKey{
		{
			Key:         idempotency.Key{Tenant: 11, Name: "key answered"},
			Fingerprint: idempotency.Fingerprint{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
			ExpiresAt:   time.Unix(4_000_000_001, 101), Answered: true,
		},
		{
			Key:         idempotency.Key{Tenant: 13, Name: "key lost"},
			Fingerprint: idempotency.Fingerprint{33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46, 47, 48},
			ExpiresAt:   time.Unix(4_000_000_003, 103),
		},
		{
			Key:         idempotency.Key{Tenant: 14, Name: "key only started"},
			Fingerprint: idempotency.Fingerprint{49, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62, 63, 64},
			ExpiresAt:   time.Unix(4_000_000_004, 104),
		},
	}
}

// writeGolden records the events of the golden file in a new log and returns its content.
func writeGolden(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	l, _, err := Open(path, time.Unix(4_000_000_000, 0), nil)
	if err != nil {
		t.Fatal(err)
	}
	known := goldenKnown()
	rejectedKey := idempotency.Key{Tenant: 12, Name: "key refused"}
	rejectedFingerprint := idempotency.Fingerprint{17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32}
	err = errors.Join(
		l.RecordStart(known[0].Key, known[0].Fingerprint, known[0].ExpiresAt),
		l.RecordStart(rejectedKey, rejectedFingerprint, time.Unix(4_000_000_002, 102)),
		l.RecordStart(known[1].Key, known[1].Fingerprint, known[1].ExpiresAt),
		l.RecordStart(known[2].Key, known[2].Fingerprint, known[2].ExpiresAt))
	l.RecordCompletion(known[0].Key, idempotency.Answered)
	l.RecordCompletion(rejectedKey, idempotency.Rejected)
	l.RecordCompletion(known[1].Key, idempotency.Indeterminate)
	if err := errors.Join(err, l.Close()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// readGolden returns the content of the golden file.
func readGolden(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a change to the format by which logs of earlier versions lose keys when they are opened.
func TestGoldenLogOpens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys") // a copy, because Open replaces the file
	if err := os.WriteFile(path, readGolden(t), 0o600); err != nil {
		t.Fatal(err)
	}
	l, got, err := Open(path, time.Unix(4_000_000_000, 0), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	slices.SortFunc(got, func(a, b KnownKey) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
	if want := goldenKnown(); !slices.Equal(got, want) {
		t.Errorf("known keys differ:\ngot  %+v\nwant %+v", got, want)
	}
}

// Guards against a change to the format in which records are written.
func TestGoldenLogWrites(t *testing.T) {
	if got, want := writeGolden(t), readGolden(t); !bytes.Equal(got, want) {
		t.Errorf("content of the log differs:\ngot\n%x\nwant\n%x", got, want)
	}
}

// Guards against other values of the kinds of records than the golden file has.
func TestGoldenLogKinds(t *testing.T) {
	var kinds []byte
	data := readGolden(t)
	for at := len("ykkeys01"); at < len(data); {
		r, ok := decode(data[at:])
		if !ok {
			t.Fatalf("found no valid record at byte %d", at)
		}
		kinds = append(kinds, byte(r.kind))
		at += int(r.size())
	}
	if want := []byte{1, 1, 1, 1, 2, 3, 4}; !bytes.Equal(kinds, want) {
		t.Errorf("got kinds %v, want %v", kinds, want)
	}
}
