package app

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/gracefulclose"
)

// The backoff of an acceptor whose accept fails for want of descriptors or memory.
const (
	initialAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff     = time.Second
)

// temporaryAcceptErrors are the errors of accept(2) after which it may succeed.
var temporaryAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
}

func isTemporaryAcceptError(err error) bool {
	return slices.ContainsFunc(temporaryAcceptErrors, func(e error) bool { return errors.Is(err, e) })
}

// acceptor accepts the connections of a socket and hands them to the server that serves it at the time. A connection
// that is accepted between two servers waits for the next one.
type acceptor struct {
	net.Listener
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// startAcceptor starts the acceptor of a socket. It ends when it is closed, or by a failure, which it reports.
func (ls *Listeners) startAcceptor(l net.Listener) *acceptor {
	a := &acceptor{Listener: gracefulclose.WrapListener(l), accepted: make(chan net.Conn), closed: make(chan struct{})}
	ls.background.Go(func() {
		if err := a.run(l, ls.app); !errors.Is(err, net.ErrClosed) {
			ls.reportFailure(fmt.Errorf("listener %s: %w", l.Addr(), err))
		}
		a.Close()
	})
	return a
}

// run accepts the connections of the socket until it fails for good, and returns that error.
func (a *acceptor) run(l net.Listener, app *App) error {
	for backoff := initialAcceptBackoff; ; {
		nc, err := l.Accept()
		if isTemporaryAcceptError(err) {
			app.Log.Warn("accepting connections failed, retrying", "addr", l.Addr().String(), "err", err)
			select {
			case <-time.After(backoff):
			case <-a.closed:
			}
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		if err != nil {
			return err
		}
		backoff = initialAcceptBackoff
		select {
		case a.accepted <- nc:
		case <-a.closed:
			nc.Close()
		}
	}
}

// Close closes the socket once the connections that wait in it are accepted.
func (a *acceptor) Close() error {
	err := a.Listener.Close()
	a.closeOnce.Do(func() { close(a.closed) })
	return err
}

// newListener returns a listener with the acceptor's connections, for one server. Closing it leaves the socket open.
func (a *acceptor) newListener() *serverListener {
	return &serverListener{acceptor: a, closed: make(chan struct{})}
}

// serverListener is the listener of one of the servers that an acceptor has one after the other.
type serverListener struct {
	*acceptor
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed: // checked first: from now on connections are the next server's
		return nil, net.ErrClosed
	default:
	}
	select {
	case nc := <-l.accepted:
		return nc, nil
	case <-l.closed: // not the acceptor's closed: who closes the acceptor stops the server too
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *serverListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
