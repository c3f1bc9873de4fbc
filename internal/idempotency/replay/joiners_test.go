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

// The first's client leaves: with nobody waiting its request ends, with others it goes on for them,
// and ends when the last of them leaves.
func TestFirstLeaves(t *testing.T) {
	for name, joiners := range map[string]int{"alone": 0, "one waits": 1, "the one that waits leaves too": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := engine.NewClock()
				s := &stub{run: func(ctx context.Context, _ int64) (engine.Answer, error) {
					select {
					case <-time.After(500 * time.Millisecond):
						return served("a"), nil
					case <-ctx.Done():
						return engine.Answer{}, engine.ErrClientDisconnected
					}
				}}
				c := New(limits(), clock).Cluster(s, window, 0)
				ctx, disconnect := context.WithCancel(t.Context())
				other, disconnectOther := context.WithCancel(t.Context())
				var all sync.WaitGroup
				var joined engine.Answer
				var joinedErr error
				all.Go(func() {
					if _, err := c.Do(ctx, keyed(clock, "k", "x")); !errors.Is(err, engine.ErrClientDisconnected) {
						t.Errorf("the first got %v", err)
					}
				})
				synctest.Wait()
				if joiners != 0 {
					all.Go(func() { joined, joinedErr = c.Do(other, keyed(clock, "k", "x")) })
					synctest.Wait()
				}
				disconnect()
				if synctest.Wait(); joiners < 0 {
					disconnectOther()
				}
				began := clock.Now()
				all.Wait()
				synctest.Wait()
				served := joinedErr == nil && joined.Verdict == engine.Served
				switch took := clock.Now() - began; {
				case joiners > 0 && (!served || took != 500*time.Millisecond):
					t.Errorf("the joiner got %+v, %v after %v", joined, joinedErr, took)
				case joiners <= 0 && took != 0:
					t.Errorf("the request went on for %v with nobody there", took)
				}
				disconnectOther()
			})
		})
	}
}

// Right before an attempt is sent, the request counts as abandoned if the first's client has disconnected and
// nobody else waits; with a joiner it does not.
func TestClientLeftCountsWithoutJoinersOnly(t *testing.T) {
	for _, joined := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			clock, release := engine.NewClock(), make(chan struct{})
			s := &stub{run: func(context.Context, int64) (engine.Answer, error) { <-release; return served("a"), nil }}
			c := New(limits(), clock).Cluster(s, window, 0)
			left := false
			r := keyed(clock, "k", "x")
			r.ClientDisconnected = func() bool { return left }
			var all sync.WaitGroup
			all.Go(func() { c.Do(t.Context(), r) })
			synctest.Wait()
			if joined {
				all.Go(func() { c.Do(t.Context(), keyed(clock, "k", "x")) })
				synctest.Wait()
			}
			if r.ClientDisconnected() {
				t.Error("left while its client waits")
			}
			if left = true; r.ClientDisconnected() == joined {
				t.Errorf("joined %v: left %v once the first's client has gone", joined, r.ClientDisconnected())
			}
			close(release)
			all.Wait()
		})
	}
}

// Joiners keep their own time, and no answer's fields are shared between those that change them.
func TestJoinersKeepTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := engine.NewClock()
		s := &stub{run: func(context.Context, int64) (engine.Answer, error) {
			time.Sleep(800 * time.Millisecond)
			return served("a"), nil
		}}
		c := New(limits(), clock).Cluster(s, window, 0)
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() {
				r := keyed(clock, "k", "x")
				if i == 3 {
					r.Deadline = clock.Now() + 200*time.Millisecond
				}
				a, err := c.Do(t.Context(), r)
				if h, ok := a.Value.(*h1client.Answer); ok {
					h.Header.Set("X-Mine", fmt.Sprint(i)) // under -race: two that share it are found
				} else if i != 3 || err != nil || a.Verdict != engine.Failed || clock.Now() > r.Deadline {
					t.Errorf("%d: %+v, %v", i, a, err)
				}
			})
			synctest.Wait()
		}
		all.Wait()
	})
}
