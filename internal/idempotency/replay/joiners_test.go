package replay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
)

// Guards against a first request that goes on after its client has disconnected although no other request waits for its
// outcome, or that ends although another request waits.
func TestFirstLeaves(t *testing.T) {
	for name, joiners := range map[string]int{"alone": 0, "one waits": 1, "the one that waits leaves too": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := engine.NewClock()
				s := &stubCluster{run: func(ctx context.Context, _ int64) (engine.Answer, error) {
					select {
					case <-time.After(500 * time.Millisecond):
						return servedAnswer("a"), nil
					case <-ctx.Done():
						return engine.Answer{}, engine.ErrClientDisconnected
					}
				}}
				c := New(limits(), clock).WrapCluster(s, testWindow, 0)
				ctx, disconnect := context.WithCancel(t.Context())
				other, disconnectOther := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				var joined engine.Answer
				var joinedErr error
				wg.Go(func() {
					if _, err := c.Do(ctx, keyedRequest(clock, "k", "x")); !errors.Is(err, engine.ErrClientDisconnected) {
						t.Errorf("first request: got error %v, want ErrClientDisconnected", err)
					}
				})
				synctest.Wait()
				if joiners != 0 {
					wg.Go(func() { joined, joinedErr = c.Do(other, keyedRequest(clock, "k", "x")) })
					synctest.Wait()
				}
				disconnect()
				if synctest.Wait(); joiners < 0 {
					disconnectOther()
				}
				began := clock.Now()
				wg.Wait()
				synctest.Wait()
				served := joinedErr == nil && joined.Verdict == engine.Served
				switch took := clock.Now() - began; {
				case joiners > 0 && (!served || took != 500*time.Millisecond):
					t.Errorf("joiner: got answer %+v, error %v after %v; want a served answer after 500 ms", joined, joinedErr, took)
				case joiners <= 0 && took != 0:
					t.Errorf("the request went on for %v after the last client had disconnected, want 0", took)
				}
				disconnectOther()
			})
		})
	}
}

// Guards against attempts for a request that no client waits for, and against a request that is given up while a joiner
// waits: ClientDisconnected, which the engine calls right before it sends an attempt, must return true only if the first
// request's client has disconnected and no other request waits.
func TestClientLeftCountsWithoutJoinersOnly(t *testing.T) {
	for _, joined := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			clock, release := engine.NewClock(), make(chan struct{})
			s := &stubCluster{run: func(context.Context, int64) (engine.Answer, error) { <-release; return servedAnswer("a"), nil }}
			c := New(limits(), clock).WrapCluster(s, testWindow, 0)
			disconnected := false
			r := keyedRequest(clock, "k", "x")
			r.ClientDisconnected = func() bool { return disconnected }
			var wg sync.WaitGroup
			wg.Go(func() { c.Do(t.Context(), r) })
			synctest.Wait()
			if joined {
				wg.Go(func() { c.Do(t.Context(), keyedRequest(clock, "k", "x")) })
				synctest.Wait()
			}
			if r.ClientDisconnected() {
				t.Error("ClientDisconnected() = true while the client of the first request waits")
			}
			if disconnected = true; r.ClientDisconnected() == joined {
				t.Errorf("joined %v: ClientDisconnected() = %v after the first request's client has disconnected", joined, r.ClientDisconnected())
			}
			close(release)
			wg.Wait()
		})
	}
}

// Guards against a joiner that waits beyond its own deadline, and against answers that share a Header, which each receiver
// may change.
func TestJoinersKeepTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := engine.NewClock()
		s := &stubCluster{run: func(context.Context, int64) (engine.Answer, error) {
			time.Sleep(800 * time.Millisecond)
			return servedAnswer("a"), nil
		}}
		c := New(limits(), clock).WrapCluster(s, testWindow, 0)
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				r := keyedRequest(clock, "k", "x")
				if i == 3 {
					r.Deadline = clock.Now() + 200*time.Millisecond
				}
				a, err := c.Do(t.Context(), r)
				if h, ok := a.Value.(*h1client.Answer); ok {
					h.Header.Set("X-Mine", fmt.Sprint(i)) // with -race, a Header that two answers share is reported
				} else if i != 3 || err != nil || a.Verdict != engine.Failed || clock.Now() > r.Deadline {
					t.Errorf("request %d: got answer %+v, error %v", i, a, err)
				}
			})
			synctest.Wait()
		}
		wg.Wait()
	})
}
