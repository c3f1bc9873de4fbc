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

// fragmentedBody is a reader that returns a body in pieces of random length with pauses between them, and then an error.
type fragmentedBody struct {
	remaining []byte
	rng       *rand.Rand
	end       error
}

func (p *fragmentedBody) Read(b []byte) (int, error) {
	if len(p.remaining) == 0 {
		return 0, p.end
	}
	time.Sleep(time.Duration(p.rng.IntN(3)) * time.Millisecond)
	n := copy(b[:min(len(b), 1+p.rng.IntN(200))], p.remaining)
	p.remaining = p.remaining[n:]
	return n, nil
}

// errClientGone is the error of reading a body whose client has disconnected.
var errClientGone = errors.New("client disconnected")

// A client's body must never reach an endpoint truncated, and must remain available for retries while it fits the buffer. The
// test draws random bodies, limits and attempts, and checks that
//   - an attempt reads the body from its first byte or gets an error, and never reads a part of the body followed by io.EOF;
//   - at least one attempt reads the whole of a body that fits the limit;
//   - the beginning of the body is dropped only if the body does not fit the limit;
//   - the buffer does not exceed the limit.
func TestUploadAgainstModel(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			c := newUploadCase(t, seed)
			var run sync.WaitGroup
			onDemand := c.rng.IntN(2) == 0
			run.Go(func() { c.upload.Run(onDemand) })
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
				t.Fatalf("seed %d: no attempt read a body that fits the limit, want at least the last one to read it", seed)
			}
			c.upload.Close()
			run.Wait()
		})
	}
}

// uploadCase is an upload with its randomly drawn body and limit.
type uploadCase struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	body   []byte
	limit  int   // maximum length of the buffer in bytes
	end    error // error at the end of the body: io.EOF or errClientGone
	upload *Upload
}

// newUploadCase draws a body, a limit, and the error at the end of the body.
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
	u := NewUpload(&fragmentedBody{bytes.Clone(body), rand.New(rand.NewPCG(seed, 2)), end}, limit)
	return &uploadCase{t: t, seed: seed, rng: rng, body: body, limit: limit, end: end, upload: u}
}

// attempt reads the body until it has at least maxBytes bytes or the body ends, checks the bytes that were read, and reports
// whether they are the whole body.
func (c *uploadCase) attempt(attempt, maxBytes int) (complete bool) {
	got, err := c.read(maxBytes)
	if !bytes.HasPrefix(c.body, got) {
		c.t.Fatalf("seed %d: attempt %d read bytes that differ from the beginning of the body", c.seed, attempt)
	}
	switch {
	case err == io.EOF:
		if c.end != io.EOF || len(got) != len(c.body) {
			c.t.Fatalf("seed %d: got io.EOF after %d of %d bytes, want it only after a whole body", c.seed, len(got), len(c.body))
		}
		return true
	case errors.Is(err, errBeginningDropped):
		if !c.upload.Consumed() || len(c.body) <= c.limit {
			c.t.Fatalf("seed %d: beginning of a body of %d bytes dropped with a limit of %d, want none dropped", c.seed, len(c.body), c.limit)
		}
	case err != nil && !errors.Is(err, errClientGone):
		c.t.Fatalf("seed %d: got error %v, want none or that of the client's body", c.seed, err)
	}
	return false
}

// read reads at least maxBytes bytes of the body, or the body to its end, as an attempt does. It checks the length of the
// buffer after each Read.
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
			c.t.Fatalf("seed %d: got %d buffered bytes, want at most %d", c.seed, buffered, c.limit)
		}
	}
	return got, err
}

// AwaitBufferFor returns after its timeout even on a busy machine. If it compared the clock with an end time
// computed after the start of its timer, it could find the timeout not yet expired when the timer fires, and would then
// wait until the request's deadline.
func TestSettleEnds(t *testing.T) {
	const waiters, times = 256, 100
	var all sync.WaitGroup
	for range waiters {
		all.Go(func() {
			for range times {
				u := NewUpload(strings.NewReader(""), 1) // receives no data because Run is not called
				u.AwaitBufferFor(20 * time.Microsecond)
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		close(ended)
	}()
	testutil.Wait(t, ended, "all calls of AwaitBufferFor to return")
}
