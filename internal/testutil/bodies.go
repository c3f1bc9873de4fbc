package testutil

import (
	"io"
	"sync"
	"time"
)

// Pattern is a reader of Size bytes that depend on their offset and on Number, so that a test detects parts of a body that are
// lost, moved or from another body.
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

// patternBytes are the first bytes of the Pattern with Number 0, as many as were needed so far.
var patternBytes struct {
	mu    sync.Mutex
	bytes []byte
}

// Bytes returns size bytes of the Pattern with Number 0. They are made only once, since clients in numbers that make them at the
// same time keep each other from sending.
func Bytes(size int) []byte {
	patternBytes.mu.Lock()
	if size > len(patternBytes.bytes) {
		patternBytes.bytes = make([]byte, size)
		io.ReadFull(&Pattern{Size: size}, patternBytes.bytes)
	}
	all := patternBytes.bytes
	patternBytes.mu.Unlock()
	return append(make([]byte, 0, size), all[:size]...)
}

// SlowReader reads from Reader at an average of at most Rate bytes per second.
type SlowReader struct {
	io.Reader
	Rate  int       // in bytes per second; 0: no limit
	start time.Time // time of the first read
	count int       // number of bytes read since start
}

// maxSlowRead is the maximum number of bytes in one read of a SlowReader. It keeps the pauses of the reader short.
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
