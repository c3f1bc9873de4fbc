package h1client

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/testutil"
)

// parts returns a body in random pieces with pauses, and then an error.
type parts struct {
	left []byte
	rng  *rand.Rand
	end  error
}

func (p *parts) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, p.end
	}
	time.Sleep(time.Duration(p.rng.IntN(3)) * time.Millisecond)
	n := copy(b[:min(len(b), 1+p.rng.IntN(200))], p.left)
	p.left = p.left[n:]
	return n, nil
}

// errClientGone is the error of bodies whose clients disconnect.
var errClientGone = errors.New("the client is gone")

// For random bodies, limits and attempts: an attempt reads the body from its first byte or an error, never a part with
// a clean end; while the body fits the limit any number of attempts read it, beyond it one alone; and the buffer does
// not exceed the limit.
func TestUploadAgainstModel(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			c := newUploadCase(t, seed)
			var run sync.WaitGroup
			patient := c.rng.IntN(2) == 0
			run.Go(func() { c.upload.Run(patient) })
			complete := 0
			for attempt := range 3 {
				maxBytes := c.rng.IntN(len(c.body) + 2)
				if attempt == 2 {
					maxBytes = len(c.body) + 1
				}
				if c.attempt(attempt, maxBytes) {
					complete++
				}
			}
			if len(c.body) <= c.limit && c.end == io.EOF && complete == 0 {
				t.Fatalf("seed %d: the last attempt did not get a body that fits", seed)
			}
			c.upload.Close()
			run.Wait()
		})
	}
}

// uploadCase is an upload with what is drawn for it.
type uploadCase struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	body   []byte
	limit  int   // of the buffer, in bytes
	end    error // io.EOF, or errClientGone
	upload *Upload
}

// newUploadCase draws a body, a limit and the body's end.
func newUploadCase(t *testing.T, seed uint64) *uploadCase {
	rng := rand.New(rand.NewPCG(seed, 1))
	body := make([]byte, rng.IntN(2000))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	limit, end := 1+rng.IntN(1500), io.EOF
	if rng.IntN(4) == 0 {
		end = errClientGone
	}
	u := NewUpload(&parts{bytes.Clone(body), rand.New(rand.NewPCG(seed, 2)), end}, limit)
	return &uploadCase{t: t, seed: seed, rng: rng, body: body, limit: limit, end: end, upload: u}
}

// attempt reads the body up to a number of bytes or to its end, checks what was read, and reports whether that was the
// complete body.
func (c *uploadCase) attempt(attempt, maxBytes int) (complete bool) {
	got, err := c.read(maxBytes)
	if !bytes.HasPrefix(c.body, got) {
		c.t.Fatalf("seed %d: attempt %d read other bytes", c.seed, attempt)
	}
	switch {
	case err == io.EOF:
		if c.end != io.EOF || len(got) != len(c.body) {
			c.t.Fatalf("seed %d: %d of %d bytes pass for the whole", c.seed, len(got), len(c.body))
		}
		return true
	case errors.Is(err, errBeginningDropped):
		if !c.upload.Consumed() || len(c.body) <= c.limit {
			c.t.Fatalf("seed %d: a body of %d is spent under a limit of %d", c.seed, len(c.body), c.limit)
		}
	case err != nil && !errors.Is(err, errClientGone):
		c.t.Fatalf("seed %d: %v", c.seed, err)
	}
	return false
}

// read reads the body as an attempt does, and checks the size of the buffer meanwhile.
func (c *uploadCase) read(maxBytes int) (got []byte, err error) {
	r := c.upload.Reader()
	defer r.Close()
	for err == nil && len(got) < maxBytes {
		part := make([]byte, 1+c.rng.IntN(300))
		var n int
		n, err = r.Read(part)
		got = append(got, part[:n]...)
		c.upload.mu.Lock()
		buffered := len(c.upload.buffer)
		c.upload.mu.Unlock()
		if buffered > c.limit {
			c.t.Fatalf("seed %d: %d bytes held, limit %d", c.seed, buffered, c.limit)
		}
	}
	return got, err
}

// AwaitBufferFor ends on however busy a machine: where it read the clock, the time between the start of its timer and
// the reading had it wait until the request's deadline.
func TestSettleEnds(t *testing.T) {
	const waiters, times = 256, 100
	var all sync.WaitGroup
	for range waiters {
		all.Go(func() {
			for range times {
				u := NewUpload(strings.NewReader(""), 1) // nothing ever comes: Run is not called
				u.AwaitBufferFor(20 * time.Microsecond)
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		close(ended)
	}()
	testutil.Wait(t, ended, "all waits to end")
}
