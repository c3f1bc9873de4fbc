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

// queue is a socket with one connection in its backlog that the program accepts late.
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

// The backlog of a socket that is being closed is accepted, also where that takes the program two polls.
func TestCloseAcceptsTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &queue{late: 2*PollInterval + PollInterval/2, gone: make(chan struct{})}
		l := WrapListener(q)
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
			t.Errorf("it was not accepted: %v", err)
		}
		if took := q.closed.Sub(began); took != requiredPolls*PollInterval {
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
	if err := WrapListener(l).Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}
