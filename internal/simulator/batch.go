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

// The sizes of the parts of a batch's frame, in bytes. maxBodySize bounds the records and the tail together.
const (
	batchHeaderSize = 20
	eventSize       = 48
	maxBodySize     = 1 << 30
)

// bodyChunkSize is the number of bytes by which the buffer for a frame's body grows at a time.
const bodyChunkSize = 1 << 20

// readBufferSize is the size of the buffer of a Reader's input, in bytes.
const readBufferSize = 1 << 16

// ErrFormat is wrapped by every error about a frame that is malformed or can't be read to its end.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. It is valid until the next call of Reader.Read.
type Batch struct {
	Now    time.Duration // the simulator's clock
	Number uint32        // identifies the batch; its reply repeats the number
	Count  int           // number of event records

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

// Read returns the next batch. The error is io.EOF if the input ends between two batches; all other errors, also those of
// the underlying reader, wrap ErrFormat.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.in, r.head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("%w: can't read the header that follows batch %d: %w", ErrFormat, r.batch.Number, err)
	}
	size := binary.BigEndian.Uint32(r.head[0:])
	ms := math.Float64frombits(binary.BigEndian.Uint64(r.head[4:]))
	count := binary.BigEndian.Uint32(r.head[12:])
	r.batch.Number = binary.BigEndian.Uint32(r.head[16:])
	if size > maxBodySize || uint64(count)*eventSize > uint64(size) {
		return nil, fmt.Errorf("%w: batch %d: %d records do not fit in a body of %d bytes, or the body is over 1 GiB",
			ErrFormat, r.batch.Number, count, size)
	}
	if err := r.fill(int(size)); err != nil {
		return nil, fmt.Errorf("%w: batch %d: can't read the body: %w", ErrFormat, r.batch.Number, err)
	}
	now, ok := parseMilliseconds(ms)
	if !ok {
		return nil, fmt.Errorf("%w: batch %d: clock of %v ms is not a number or out of range", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventSize]
	r.batch.tail = r.body[int(count)*eventSize:]
	return &r.batch, nil
}

// fill reads size bytes into the body. The body's memory grows as bytes are received, so that a header that claims a large
// size does not allocate it.
func (r *Reader) fill(size int) error {
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		n := min(bodyChunkSize, size-have)
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

// slice returns count items of the tail, each of size bytes, that begin at offset. ok is false if the tail ends before
// them.
func (b *Batch) slice(offset, count uint32, size uint64) (items []byte, ok bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}
