package simulator

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
)

// unhex decodes hexadecimal digits, which may have spaces between them.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// hexRecord decodes the hexadecimal digits of an event record and pads it with zeros to eventSize.
func hexRecord(t testing.TB, text string) []byte {
	raw := unhex(t, text)
	return append(raw, make([]byte, eventSize-len(raw))...)
}

// frame returns the frame of batch 12, at 8,500 ms on the simulator's clock.
func frame(count int, records, tail []byte) []byte {
	head := make([]byte, batchHeaderSize)
	binary.BigEndian.PutUint32(head[0:], uint32(len(records)+len(tail)))
	binary.BigEndian.PutUint64(head[4:], math.Float64bits(8500))
	binary.BigEndian.PutUint32(head[12:], uint32(count))
	binary.BigEndian.PutUint32(head[16:], 12)
	return append(append(head, records...), tail...)
}

// join concatenates byte slices.
func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// decodeAll decodes the events of a stream of batches up to the first error, which it returns with them. At the end of
// the input the error is io.EOF.
func decodeAll(raw []byte) ([]Event, error) {
	r := NewReader(bytes.NewReader(raw))
	var events []Event
	for {
		b, err := r.Read()
		if err != nil {
			return events, err
		}
		for i := range b.Count {
			var e Event
			if err := b.Event(i, &e); err != nil {
				return events, err
			}
			events = append(events, e)
		}
	}
}
