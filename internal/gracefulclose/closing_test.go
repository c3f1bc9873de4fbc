package gracefulclose

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// queue is a socket in which one connection waits that the program gets to late.
type queue struct {
	net.Listener
	late   time.Duration
	gone   chan struct{}
	closed time.Time
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case <-time.After(q.late):
		c, _ := net.Pipe()
		return c, nil
	case <-q.gone:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error {
	q.closed = time.Now()
	close(q.gone)
	return nil
}

// What waits in a socket that is being closed has its turn, also where it takes the program two looks.
func TestWhatWaitsHasItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &queue{late: 2*Look + Look/2, gone: make(chan struct{})}
		l := Listener(q)
		began, taken := time.Now(), make(chan error, 1)
		go func() {
			nc, err := l.Accept()
			if err == nil {
				nc.Close()
			}
			taken <- err
		}()
		l.Close()
		if err := <-taken; err != nil {
			t.Errorf("it was not taken: %v", err)
		}
		if took := q.closed.Sub(began); took != calm*Look {
			t.Errorf("closed after %v", took)
		}
		again := &queue{gone: make(chan struct{})}
		l.(*listener).Listener = again
		if at := time.Now(); l.Close() != nil || again.closed != at {
			t.Error("closing it again has to wait")
		}
	})
}

// A socket that can't be closed says so.
func TestCloseFails(t *testing.T) {
	l := testutil.Listen(t)
	l.Close()
	if err := Listener(l).Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}

// Looks that come late say that others may have waited as long.
func TestTurn(t *testing.T) {
	for name, c := range map[string]struct {
		took []time.Duration
		had  int // after so many looks; 0: not yet
	}{
		"in time":               {[]time.Duration{Look, Look, Look}, 3},
		"late once":             {[]time.Duration{Look, late + 1, Look, Look, Look}, 5},
		"late at the last":      {[]time.Duration{Look, Look, late + 1, Look, Look}, 0},
		"as late as is allowed": {[]time.Duration{late, late, late}, 3},
	} {
		var turn Turn
		had := 0
		for i, took := range c.took {
			if turn.Look(took) {
				had = i + 1
				break
			}
		}
		if had != c.had {
			t.Errorf("%s: had its turn after %d looks, want %d", name, had, c.had)
		}
	}
}
