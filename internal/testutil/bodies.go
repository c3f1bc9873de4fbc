package testutil

import (
	"io"
	"time"
)

// Pattern is a reader of size bytes that tell their place and number, the same each time.
type Pattern struct {
	Number, Size int
	at           int
}

// Read implements io.Reader.
func (p *Pattern) Read(b []byte) (int, error) {
	if p.at >= p.Size {
		return 0, io.EOF
	}
	b = b[:min(len(b), p.Size-p.at)]
	for i := range b {
		at := p.at + i
		b[i] = byte(at) ^ byte(at>>8)*3 ^ byte(at>>16) ^ byte(p.Number)*31
	}
	p.at += len(b)
	return len(b), nil
}

// Bytes gives a whole pattern.
func Bytes(size int) []byte {
	b := make([]byte, size)
	io.ReadFull(&Pattern{Size: size}, b)
	return b
}

// SlowReader reads no faster than Rate bytes a second; 0: as fast as it comes.
type SlowReader struct {
	io.Reader
	Rate  int
	began time.Time
	got   int
}

// Read implements io.Reader.
func (s *SlowReader) Read(b []byte) (int, error) {
	if s.Rate == 0 {
		return s.Reader.Read(b)
	}
	if s.began.IsZero() {
		s.began = time.Now()
	}
	n, err := s.Reader.Read(b[:min(len(b), 16<<10)])
	s.got += n
	time.Sleep(time.Until(s.began.Add(time.Duration(s.got) * time.Second / time.Duration(s.Rate))))
	return n, err
}
