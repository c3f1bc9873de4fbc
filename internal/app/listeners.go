package app

import (
	"context"
	"fmt"
	"net"
	"sync"

	"yokestall/internal/config"
)

// Listeners serves clients on the listeners of the configuration in force. A listener whose settings stay is not
// touched; one that changes under the same address keeps its socket, so that no connection is refused in between.
type Listeners struct {
	app        *App
	failed     chan error     // of capacity 1: the first failure
	background sync.WaitGroup // the acceptors and servers

	mu   sync.Mutex                 // guards open
	open map[string]*activeListener // by config.Listener.Address
}

// activeListener is an open listener and the server that serves it.
type activeListener struct {
	settings   config.Listener
	acceptor   *acceptor
	stopServer context.CancelFunc
}

// NewListeners returns Listeners with none open. The caller ends them with Close, before App.Close.
func (a *App) NewListeners() *Listeners {
	return &Listeners{app: a, failed: make(chan error, 1), open: map[string]*activeListener{}}
}

// Failed receives the error of a listener that ended by itself.
func (ls *Listeners) Failed() <-chan error { return ls.failed }

// Addr returns the address of the listener with a name; nil if there is none.
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

// Apply opens the listeners that are wanted and are not open, and closes those that are no longer wanted: these answer
// the requests in flight. The error says which listener can't be opened; nothing has changed then.
func (ls *Listeners) Apply(wanted []config.Listener) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
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
		case current.settings != settings: // the next server takes over the socket and the connections that wait there
			current.stopServer()
			ls.start(settings, current.acceptor)
		}
	}
	ls.closeWhere(func(address string) bool { return !isWanted[address] })
	return nil
}

// openSockets opens the sockets of listeners that are not open yet, by their addresses; ls.mu is locked.
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

// start serves the connections of an acceptor by these settings; ls.mu is locked.
func (ls *Listeners) start(settings config.Listener, a *acceptor) {
	ctx, stop := context.WithCancel(context.Background())
	ls.open[settings.Address] = &activeListener{settings, a, stop}
	ls.background.Go(func() {
		if err := ls.app.ServeListener(ctx, a.newListener(), settings); err != nil {
			ls.reportFailure(err)
		}
	})
}

// closeWhere closes the listeners at some addresses, each once the connections that wait in its socket are accepted;
// ls.mu is locked.
func (ls *Listeners) closeWhere(closes func(address string) bool) {
	var closed sync.WaitGroup
	for address, l := range ls.open {
		if closes(address) {
			closed.Go(func() {
				l.acceptor.Close()
				l.stopServer()
			})
			delete(ls.open, address)
		}
	}
	closed.Wait()
}

// reportFailure passes the first failure on to Failed.
func (ls *Listeners) reportFailure(err error) {
	select {
	case ls.failed <- err:
	default:
	}
}

// Close closes all listeners and returns once their requests in flight are answered.
func (ls *Listeners) Close() {
	ls.mu.Lock()
	ls.closeWhere(func(string) bool { return true })
	ls.mu.Unlock()
	ls.background.Wait()
}
