package testutil

import (
	"io"
	"time"
)

// Pattern reads Size bytes that depend on their offset and on Number, so that lost, moved or foreign parts of a body
// show.
type Pattern struct {
	Number, Size int
	offset       int
}

// Read implements io.Reader.
func (p *Pattern) Read(b []byte) (int, error) {
	if p.offset >= p.Size {
		return 0, io.EOF
	}
	b = b[:min(len(b), p.Size-p.offset)]
	for i := range b {
		at := p.offset + i
		b[i] = byte(at) ^ byte(at>>8)*3 ^ byte(at>>16) ^ byte(p.Number)*31
	}
	p.offset += len(b)
	return len(b), nil
}

// Bytes returns the size bytes of the Pattern with number 0.
func Bytes(size int) []byte {
	b := make([]byte, size)
	io.ReadFull(&Pattern{Size: size}, b)
	return b
}

// SlowReader reads at most Rate bytes a second on average; with a Rate of 0 there is no limit.
type SlowReader struct {
	io.Reader
	Rate  int // in bytes per second
	start time.Time
	count int // bytes read since start
}

// maxSlowRead bounds the bytes of one read of a SlowReader, so that its pauses are short.
const maxSlowRead = 16 << 10

// Read implements io.Reader.
func (s *SlowReader) Read(b []byte) (int, error) {
	if s.Rate == 0 {
		return s.Reader.Read(b)
	}
	if s.start.IsZero() {
		s.start = time.Now()
	}
	n, err := s.Reader.Read(b[:min(len(b), maxSlowRead)])
	s.count += n
	due := time.Duration(s.count) * time.Second / time.Duration(s.Rate)
	time.Sleep(time.Until(s.start.Add(due)))
	return n, err
}
