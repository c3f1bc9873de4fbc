package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// The sizes of the parts of a frame of events, in bytes.
const (
	batchHeaderSize = 20
	eventSize       = 48
	maxBodySize     = 1 << 30
)

// readStep is how much memory is added at a time for a frame's body, in bytes.
const readStep = 1 << 20

// readBufferSize is the size of the input's buffer, in bytes.
const readBufferSize = 1 << 16

// ErrFormat is wrapped by the errors about malformed frames.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. It is valid until the next Read.
type Batch struct {
	Now    time.Duration // the simulator's clock
	Number uint32        // to be repeated in the reply
	Count  int           // of event records

	records []byte
	tail    []byte
}

// Reader reads batches of events.
type Reader struct {
	in    *bufio.Reader
	body  []byte
	head  [batchHeaderSize]byte
	batch Batch
}

// NewReader returns a Reader of the batches in r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, readBufferSize)} }

// Read returns the next batch. The error is io.EOF where the input ends between two batches, and
// otherwise wraps ErrFormat.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.in, r.head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("%w: header after batch %d: %w", ErrFormat, r.batch.Number, err)
	}
	size := binary.BigEndian.Uint32(r.head[0:])
	ms := math.Float64frombits(binary.BigEndian.Uint64(r.head[4:]))
	count := binary.BigEndian.Uint32(r.head[12:])
	r.batch.Number = binary.BigEndian.Uint32(r.head[16:])
	if size > maxBodySize || uint64(count)*eventSize > uint64(size) {
		return nil, fmt.Errorf("%w: batch %d: %d records in %d bytes", ErrFormat, r.batch.Number, count, size)
	}
	if err := r.fill(int(size)); err != nil {
		return nil, fmt.Errorf("%w: batch %d: body: %w", ErrFormat, r.batch.Number, err)
	}
	now, ok := parseMilliseconds(ms)
	if !ok {
		return nil, fmt.Errorf("%w: batch %d: clock %v", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventSize]
	r.batch.tail = r.body[int(count)*eventSize:]
	return &r.batch, nil
}

// fill reads size bytes into the body. Memory grows with what has been received, not with what a header claims.
func (r *Reader) fill(size int) error {
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		n := min(readStep, size-have)
		if cap(r.body) < have+n {
			r.body = append(r.body[:have], make([]byte, n)...)
		}
		r.body = r.body[:have+n]
		if _, err := io.ReadFull(r.in, r.body[have:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// slice returns count items of the tail, each of size bytes; false: they are not all in the tail.
func (b *Batch) slice(offset, count uint32, size uint64) (items []byte, ok bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}
