package app

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"yokestall/internal/config"
)

// Listeners serves clients on the listeners of the configuration in force. A change of the configuration does not affect
// listeners whose settings are unchanged. A listener whose settings change under the same address keeps its socket, so
// that no connection is refused meanwhile.
type Listeners struct {
	app        *App
	failed     chan error     // has capacity 1 and holds the first failure until it is read
	background sync.WaitGroup // counts the goroutines of acceptors and servers

	mu     sync.Mutex                 // guards open and closed
	open   map[string]*activeListener // keyed by config.Listener.Address
	closed bool                       // Close was called, so that no listener may be opened
}

// activeListener is an open listener and the server that serves it.
type activeListener struct {
	settings   config.Listener
	acceptor   *acceptor
	stopServer context.CancelFunc
}

// NewListeners returns Listeners without an open listener. The caller must call Close before App.Close.
func (a *App) NewListeners() *Listeners {
	return &Listeners{app: a, failed: make(chan error, 1), open: map[string]*activeListener{}}
}

// Failed returns a channel that receives the error of a listener that ended by itself. While an error is unread, further
// errors are dropped.
func (ls *Listeners) Failed() <-chan error { return ls.failed }

// Addr returns the address of the listener with this name, or nil if there is none.
func (ls *Listeners) Addr(name string) net.Addr {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.open {
		if l.settings.Name == name {
			return l.acceptor.Addr()
		}
	}
	return nil
}

// Apply opens the wanted listeners that are not open, restarts the server of those whose settings changed, and closes the
// listeners that are no longer wanted. A server that ends answers its requests in flight first. If a listener can't be
// opened, the error names the listener and nothing has changed. After Close, Apply does nothing: a version that comes
// while the program ends applies to the requests that are left, and opens no listener.
func (ls *Listeners) Apply(wanted []config.Listener) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed {
		return nil
	}
	sockets, err := ls.openSockets(wanted)
	if err != nil {
		return err
	}
	isWanted := map[string]bool{}
	for _, settings := range wanted {
		isWanted[settings.Address] = true
		current := ls.open[settings.Address]
		switch {
		case current == nil:
			ls.start(settings, ls.startAcceptor(sockets[settings.Address]))
		case current.settings != settings: // the new server takes over the socket and its pending connections
			current.stopServer()
			ls.start(settings, current.acceptor)
		}
	}
	ls.closeMatching(func(address string) bool { return !isWanted[address] })
	return nil
}

// openSockets opens the sockets of the wanted listeners that are not open yet, and returns the sockets by address. The
// caller holds ls.mu.
func (ls *Listeners) openSockets(wanted []config.Listener) (map[string]net.Listener, error) {
	sockets := map[string]net.Listener{}
	for _, settings := range wanted {
		if ls.open[settings.Address] != nil {
			continue
		}
		socket, err := net.Listen("tcp", settings.Address)
		if err != nil {
			for _, s := range sockets {
				s.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", settings.Name, err)
		}
		sockets[settings.Address] = socket
	}
	return sockets, nil
}

// start starts a server with these settings for the connections of an acceptor. The caller holds ls.mu.
func (ls *Listeners) start(settings config.Listener, a *acceptor) {
	ctx, stop := context.WithCancel(context.Background())
	ls.open[settings.Address] = &activeListener{settings, a, stop}
	ls.background.Go(func() {
		if err := ls.app.ServeListener(ctx, a.newListener(), settings); err != nil {
			ls.reportFailure(err)
		}
	})
}

// closeMatching closes the listeners whose address matches, each once the pending connections of its socket are accepted.
// The caller holds ls.mu.
func (ls *Listeners) closeMatching(matches func(address string) bool) {
	var closed sync.WaitGroup
	for address, l := range ls.open {
		if matches(address) {
			closed.Go(func() {
				l.acceptor.Close()
				l.stopServer()
			})
			delete(ls.open, address)
		}
	}
	closed.Wait()
}

// reportFailure sends the failure of a listener to the channel of Failed, unless an earlier failure is still unread.
func (ls *Listeners) reportFailure(err error) {
	select {
	case ls.failed <- err:
	default:
	}
}

// DrainTimeout returns how long Close waits at most for the requests of the open listeners.
func (ls *Listeners) DrainTimeout() time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	timeout := time.Duration(0)
	for _, l := range ls.open {
		timeout = max(timeout, ls.app.drainTimeout(&l.settings))
	}
	return timeout
}

// Close closes all listeners, and returns once their requests in flight are answered.
func (ls *Listeners) Close() {
	ls.mu.Lock()
	ls.closed = true
	ls.closeMatching(func(string) bool { return true })
	ls.mu.Unlock()
	ls.background.Wait()
}
