package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pires/go-proxyproto"

	"yokestall/internal/config"
	"yokestall/internal/connlimit"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/downstream/h2server"
	"yokestall/internal/forwarded"
	"yokestall/internal/gracefulclose"
	"yokestall/internal/h2flood"
	"yokestall/internal/tlskeys"
)

// A listener that can't accept for want of descriptors or memory tries again after a pause, which
// doubles from acceptPause to acceptMost.
const acceptPause, acceptMost = 5 * time.Millisecond, time.Second

// passing tells whether an error of accept is one of the moment (accept(2)).
func passing(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// proxyHeader is how long a connection may take to its PROXY header.
const proxyHeader = 2 * time.Second

// Listeners serves clients on listeners that come and go with the versions of the files. A
// listener whose settings stay is not touched; one that changes under the same address keeps
// its socket, so that no connection is refused in between.
type Listeners struct {
	app    *App
	failed chan error

	mu   sync.Mutex
	open map[string]*listening // by address as written
	done sync.WaitGroup
}

type listening struct {
	set  config.Listener
	door *door
	stop context.CancelFunc
}

// NewListeners makes none yet.
func (a *App) NewListeners() *Listeners {
	return &Listeners{app: a, failed: make(chan error, 1), open: map[string]*listening{}}
}

// Failed tells of a listener that ended by itself.
func (ls *Listeners) Failed() <-chan error { return ls.failed }

// Addr is where the listener of a name listens; nil if there is none.
func (ls *Listeners) Addr(name string) net.Addr {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.open {
		if l.set.Name == name {
			return l.door.Addr()
		}
	}
	return nil
}

// Apply opens what a version has and ends what it has not: those finish what they have. On an
// error, of a listener that can't be opened, nothing has changed.
func (ls *Listeners) Apply(want []config.Listener) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	opened := map[string]net.Listener{}
	for _, set := range want {
		if ls.open[set.Address] != nil {
			continue
		}
		socket, err := net.Listen("tcp", set.Address)
		if err != nil {
			for _, l := range opened {
				l.Close()
			}
			return fmt.Errorf("listener %q: %w", set.Name, err)
		}
		opened[set.Address] = socket
	}
	wanted := map[string]bool{}
	for _, set := range want {
		wanted[set.Address] = true
		now := ls.open[set.Address]
		if now != nil && now.set == set {
			continue
		}
		socket := opened[set.Address]
		if now != nil { // the socket stays, and with it what waits there
			now.stop()
			ls.start(set, now.door)
			continue
		}
		ls.start(set, ls.opened(socket))
	}
	ls.end(func(address string) bool { return !wanted[address] })
	return nil
}

// end ends the listeners of some addresses, each once what waits in its socket had its turn; ls.mu is held.
func (ls *Listeners) end(which func(address string) bool) {
	var closed sync.WaitGroup
	for address, l := range ls.open {
		if which(address) {
			closed.Go(func() {
				l.door.Close()
				l.stop()
			})
			delete(ls.open, address)
		}
	}
	closed.Wait()
}

// door is a socket whose connections go to whoever serves it at the time: a connection that
// came while the settings changed waits for the next one.
type door struct {
	net.Listener
	came chan net.Conn
	gone chan struct{}
	end  sync.Once
}

func (ls *Listeners) opened(l net.Listener) *door {
	d := &door{Listener: gracefulclose.WrapListener(l), came: make(chan net.Conn), gone: make(chan struct{})}
	ls.done.Go(func() {
		for wait := acceptPause; ; {
			nc, err := l.Accept()
			if passing(err) {
				ls.app.Log.Warn("accepting connections failed, retrying", "addr", l.Addr().String(), "err", err)
				select {
				case <-time.After(wait):
				case <-d.gone:
				}
				wait = min(2*wait, acceptMost)
				continue
			}
			wait = acceptPause
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					ls.fail(fmt.Errorf("listener %s: %w", l.Addr(), err))
				}
				d.Close()
				return
			}
			select {
			case d.came <- nc:
			case <-d.gone:
				nc.Close()
			}
		}
	})
	return d
}

// Close ends the socket.
func (d *door) Close() error {
	err := d.Listener.Close() // what waits there has its turn first
	d.end.Do(func() { close(d.gone) })
	return err
}

// through is a door while one server has it; closing it leaves the door open.
type through struct {
	*door
	over chan struct{}
	end  sync.Once
}

// Accept implements net.Listener.
func (t *through) Accept() (net.Conn, error) {
	select {
	case <-t.over: // goes first: what comes now is the next one's
		return nil, net.ErrClosed
	default:
	}
	select {
	case nc := <-t.came:
		return nc, nil
	case <-t.over: // not where the door goes: whoever closes that stops the server too
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (t *through) Close() error {
	t.end.Do(func() { close(t.over) })
	return nil
}

func (ls *Listeners) start(set config.Listener, d *door) {
	ctx, stop := context.WithCancel(context.Background())
	ls.open[set.Address] = &listening{set, d, stop}
	ls.done.Go(func() {
		if err := ls.app.ServeListener(ctx, &through{door: d, over: make(chan struct{})}, set); err != nil {
			ls.fail(err)
		}
	})
}

func (ls *Listeners) fail(err error) {
	select {
	case ls.failed <- err:
	default:
	}
}

// Close ends all listeners and waits until they have finished.
func (ls *Listeners) Close() {
	ls.mu.Lock()
	ls.end(func(string) bool { return true })
	ls.mu.Unlock()
	ls.done.Wait()
}

// Serve serves clients on a listener, by the first one's settings, until ctx ends, then
// answers what was taken.
func (a *App) Serve(ctx context.Context, l net.Listener) error {
	return a.ServeListener(ctx, gracefulclose.WrapListener(l), a.state.Load().program.Listener)
}

// ServeListener is Serve by other settings.
func (a *App) ServeListener(ctx context.Context, l net.Listener, set config.Listener) error {
	trust, err := forwarded.ParseTrust(strings.Fields(set.Trust))
	if err != nil {
		return err
	}
	rules := &forwarded.Rules{Trust: trust, Standard: set.Forwarded}
	o := h1server.Options{
		Clock: a.clock, Log: a.Log, MaxBody: set.MaxBody, Edge: rules,
		MaxHead: set.MaxHead, Stall: set.Stall,
		Places: connlimit.Limits{
			Active: set.Connections, Reserve: max(1, set.Connections/16),
			New: set.Silent, Overflow: max(1, set.Connections/overPart),
		},
	}
	if set.TLS {
		if a.Keys == nil {
			return errors.New("tls: the program has no [keys] folder")
		}
		protos := []string{"h2", "http/1.1"}
		if set.HTTP2 == 0 {
			protos = protos[1:]
		}
		o.TLS = a.Keys.Server(tlskeys.Clients{Roots: set.ClientRoots, Require: set.ClientNeeds}, protos...)
	}
	front := h1server.New(a.repeats(), o)
	front.Ready()
	srv := front.Server()
	var over2 *h2server.Server
	if set.HTTP2 > 0 {
		over2 = h2server.Attach(srv, h2server.Options{
			Streams: set.HTTP2, Stall: set.Stall, Clock: a.clock, Log: a.Log,
			Floods: h2flood.Limits{Resets: set.Resets, Controls: set.Controls, Pieces: set.Pieces},
		})
	}
	defer srv.Close()
	defer front.CloseTunnels()
	listener := front.Listener(l)
	accept := listener
	if set.Proxy != "" {
		accept = proxied(listener, rules, set.Proxy == "required")
	}
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(srv, accept) }()
	a.Log.Info("serving", "addr", l.Addr().String(), "listener", set.Name, "tls", set.TLS)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	front.Stopping()
	front.Draining()
	listener.Close()
	if over2 != nil {
		over2.Move() // clients of HTTP/2 open their next streams elsewhere from now on
	}
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	longest := time.Duration(0)
	for _, c := range a.state.Load().program.Classes {
		longest = max(longest, c.Deadline)
	}
	patience := max(longest, set.Drain) + stopTail
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// What was taken before has its time; what comes behind that would be cut off with its connection.
	defer time.AfterFunc(patience-longest-stopAnswers, front.Refuse).Stop()
	defer time.AfterFunc(patience-stopAnswers, front.CloseSilent).Stop() // what they send behind that would find nobody
	front.Drain(limit)
	if over2 != nil {
		// What rests ends by itself now that it was told to move. Shutdown waits for it, and
		// comes last: from here on net/http's server drops requests of HTTP/1.1 that it has read,
		// and none of its connections are left unless the time is up.
		if limit.Err() != nil {
			limit, cancel = context.WithTimeout(context.Background(), stopTail)
			defer cancel()
		}
		srv.Shutdown(limit)
	}
	return nil
}

// proxied has connections of those trusted begin with a PROXY header (v1 or v2), which names
// the client. Others may not send one: to them it is a malformed request.
func proxied(l net.Listener, rules *forwarded.Rules, required bool) net.Listener {
	return &proxyproto.Listener{
		Listener: l, ReadHeaderTimeout: proxyHeader,
		ConnPolicy: func(o proxyproto.ConnPolicyOptions) (proxyproto.Policy, error) {
			switch trusted := rules.Trusts(forwarded.Addr(o.Upstream.String())); {
			case trusted && required:
				return proxyproto.REQUIRE, nil
			case trusted:
				return proxyproto.USE, nil
			case required:
				return proxyproto.REJECT, nil
			}
			return proxyproto.SKIP, nil
		},
	}
}
