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

// Backoff of an acceptor after a temporary error of accept, such as a lack of file descriptors or memory.
const (
	initialAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff     = time.Second
)

// temporaryAcceptErrors are the errors of accept(2) after which a later call may succeed.
var temporaryAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
}

func isTemporaryAcceptError(err error) bool {
	return slices.ContainsFunc(temporaryAcceptErrors, func(e error) bool { return errors.Is(err, e) })
}

// acceptor accepts the connections of a socket and passes them to the server that currently serves the socket. A
// connection that is accepted while one server is replaced by another waits for the new server.
type acceptor struct {
	net.Listener
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// startAcceptor starts the acceptor of a socket. The acceptor ends when it is closed or when accept fails permanently;
// it reports such a failure to ls.
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

// run accepts the connections of the socket until accept fails with an error that is not temporary, which run returns.
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

// Close closes the socket once the connections in its backlog are accepted.
func (a *acceptor) Close() error {
	err := a.Listener.Close()
	a.closeOnce.Do(func() { close(a.closed) })
	return err
}

// newListener returns a listener for one server, which gets the acceptor's connections. Closing this listener leaves the
// socket open.
func (a *acceptor) newListener() *serverListener {
	return &serverListener{acceptor: a, closed: make(chan struct{})}
}

// serverListener passes the connections of an acceptor to one server. The servers of a socket, one after the other, have
// a serverListener each.
type serverListener struct {
	*acceptor
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed: // checked first, since connections belong to the next server from now on
		return nil, net.ErrClosed
	default:
	}
	select {
	case nc := <-l.accepted:
		return nc, nil
	// Closing the acceptor does not end this call. closeMatching also stops the server, which closes l. After a permanent
	// accept error, the server waits here until it is stopped.
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *serverListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
