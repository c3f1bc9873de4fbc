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

// backlogListener is a listener with one connection in its backlog, which Accept returns after acceptDelay.
type backlogListener struct {
	net.Listener
	acceptDelay time.Duration
	done        chan struct{}
	closed      time.Time
}

func (q *backlogListener) Accept() (net.Conn, error) {
	select {
	case <-time.After(q.acceptDelay):
		c, _ := net.Pipe()
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *backlogListener) Close() error {
	q.closed = time.Now()
	close(q.done)
	return nil
}

// The first Close closes a socket only after the backlog was accepted, even if that takes longer than two polls. A second
// Close does not wait.
func TestCloseAcceptsTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &backlogListener{acceptDelay: 2*PollInterval + PollInterval/2, done: make(chan struct{})}
		l := WrapListener(q)
		began, acceptErr := time.Now(), make(chan error, 1)
		go func() {
			nc, err := l.Accept()
			if err == nil {
				nc.Close()
			}
			acceptErr <- err
		}()
		l.Close()
		if err := <-acceptErr; err != nil {
			t.Errorf("the connection in the backlog was not accepted: %v", err)
		}
		if took := q.closed.Sub(began); took != requiredPolls*PollInterval {
			t.Errorf("the socket was closed after %v, want requiredPolls times PollInterval", took)
		}
		again := &backlogListener{done: make(chan struct{})}
		l.(*listener).Listener = again
		if at := time.Now(); l.Close() != nil || again.closed != at {
			t.Error("a second Close failed or waited for the backlog, want an immediate close without an error")
		}
	})
}

// Close returns the error of closing the socket.
func TestCloseFails(t *testing.T) {
	l := testutil.Listen(t)
	l.Close()
	if err := WrapListener(l).Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got the error %v, want net.ErrClosed", err)
	}
}
