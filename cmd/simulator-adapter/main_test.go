package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// recordSize is the size of an event record in bytes.
const recordSize = 48

const settings = `{"Classes": [{"DeadlineMs": 1000, "Effect": "pure"}], "Limits": {"MaxAttempts": 2}}`

// record returns an event record that consists of the given parts, padded with zeros to recordSize.
func record(parts ...any) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), make([]byte, recordSize-b.Len())...)
}

// batch returns the frame of batch 7 with the given records, and with the tail that they refer to.
func batch(tail string, records ...[]byte) []byte {
	var b bytes.Buffer
	body := bytes.Join(records, nil)
	header := []any{uint32(len(body) + len(tail)), math.Float64bits(5000), uint32(len(records)), uint32(7)}
	for _, p := range header {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(append(b.Bytes(), body...), tail...)
}

// selectRecord returns the record that selects the instance for the records that follow.
func selectRecord(n uint16) []byte { return record(uint8(11), n) }

// openRecord returns the record that opens an instance. Its settings are the given text, at the start of the tail.
func openRecord(text string) []byte { return record(uint8(1), uint64(1), uint32(0), uint32(len(text))) }

// actionCodes returns the action codes of all replies.
func actionCodes(t *testing.T, out []byte) (all []byte) {
	t.Helper()
	for len(out) > 0 {
		count, size := binary.BigEndian.Uint32(out), binary.BigEndian.Uint32(out[4:])
		for i := range int(count) {
			all = append(all, out[12+24*i])
		}
		out = out[12+size:]
	}
	return all
}

func TestRunServesABatchAndEndsCleanly(t *testing.T) {
	endpoint := "\x0a\x00\x00\x01\x1f\x90" +
		"\x00\x00\x00\x00\x00\x00\x01\x3f\x80\x00\x00" + strings.Repeat("\x00", 8)
	in := bytes.Join([][]byte{
		batch(""),
		batch(settings, selectRecord(4), openRecord(settings)),
		batch(endpoint, selectRecord(4), record(uint8(2), uint8(2), uint64(1), uint32(0), uint32(1)),
			record(uint8(3), uint32(9), uint8(0), uint16(0), uint64(0), float64(800))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 66, 72}) {
		t.Fatalf("got action codes %v, want 68 (select instance), 66 (send) and 72 (set timer)", got)
	}
}

func TestRunReportsImpossibleSettingsAsFatal(t *testing.T) {
	text := `{"Classes": [{"DeadlineMs": -5, "Effect": "pure"}]}`
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(text, selectRecord(4), openRecord(text))), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("Classes[0].Deadline")) ||
		!bytes.Contains(actionCodes(t, out.Bytes()), []byte{77}) {
		t.Fatalf("got reply %q, want a fatal action that names Classes[0].Deadline", out.Bytes())
	}
}

func TestRunRejectsEventsForNoInstance(t *testing.T) {
	for name, in := range map[string][]byte{
		"never opened": batch("", selectRecord(4), record(uint8(7), uint64(0))),
		"not named":    batch("", record(uint8(7), uint64(0))),
		"stopped": batch(settings, selectRecord(4), openRecord(settings), record(uint8(10)),
			record(uint8(7), uint64(0))),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), "batch 7, record") {
			t.Errorf("instance %s: got error %v, want one that names batch 7 and the record", name, err)
		}
	}
}
