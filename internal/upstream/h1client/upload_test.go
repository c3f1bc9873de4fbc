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

// For random bodies, limits and attempts: an attempt reads the body from its first byte or an error, never a part with
// a clean end; while the body fits the limit any number of attempts read it, beyond it one alone; and the buffer does
// not exceed the limit.
func TestUploadAgainstModel(t *testing.T) {
	gone := errors.New("the client is gone")
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			body := make([]byte, rng.IntN(2000))
			for i := range body {
				body[i] = byte(rng.Uint32())
			}
			limit, end := 1+rng.IntN(1500), io.EOF
			if rng.IntN(4) == 0 {
				end = gone
			}
			u := NewUpload(&parts{bytes.Clone(body), rand.New(rand.NewPCG(seed, 2)), end}, limit)
			var run sync.WaitGroup
			patient := rng.IntN(2) == 0
			run.Go(func() { u.Run(patient) })
			whole := 0
			for attempt := range 3 {
				r := u.Reader()
				giveUp := rng.IntN(len(body) + 2)
				if attempt == 2 {
					giveUp = len(body) + 1
				}
				var got []byte
				var err error
				for err == nil && len(got) < giveUp {
					part := make([]byte, 1+rng.IntN(300))
					var n int
					n, err = r.Read(part)
					got = append(got, part[:n]...)
					u.mu.Lock()
					held := len(u.buffer)
					u.mu.Unlock()
					if held > limit {
						t.Fatalf("seed %d: %d bytes held, limit %d", seed, held, limit)
					}
				}
				r.Close()
				if !bytes.HasPrefix(body, got) {
					t.Fatalf("seed %d: attempt %d read other bytes", seed, attempt)
				}
				switch {
				case err == io.EOF:
					whole++
					if end != io.EOF || len(got) != len(body) {
						t.Fatalf("seed %d: %d of %d bytes pass for the whole", seed, len(got), len(body))
					}
				case errors.Is(err, errBeginningDropped):
					if !u.Consumed() || len(body) <= limit {
						t.Fatalf("seed %d: a body of %d is spent under a limit of %d", seed, len(body), limit)
					}
				case err != nil && !errors.Is(err, gone):
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
			if len(body) <= limit && end == io.EOF && whole == 0 {
				t.Fatalf("seed %d: the last attempt did not get a body that fits", seed)
			}
			u.Close()
			run.Wait()
		})
	}
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
