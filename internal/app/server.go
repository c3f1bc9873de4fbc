package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
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

const (
	// connectionDrainMargin is how long the shutdown of a listener waits for connections after the longest deadline or
	// the drain timeout, whichever is longer.
	connectionDrainMargin = 300 * time.Millisecond
	// finalAnswerMargin is how long before the end of a drain idle connections are closed and the latest deadline of an
	// accepted request expires, so that its answer can still be sent.
	finalAnswerMargin = 50 * time.Millisecond
	// proxyHeaderTimeout is the time within which a connection must send its PROXY protocol header.
	proxyHeaderTimeout = 2 * time.Second
	// reserveDivisor determines the reserve of a listener, the number of connections that idle connections must leave free
	// for other clients. The reserve is 1/reserveDivisor of the listener's maximum number of connections.
	reserveDivisor = 16
	// overflowDivisor determines how many connections beyond the maximum a listener accepts only to answer them with
	// Retry-After: 1/overflowDivisor of the maximum.
	overflowDivisor = 16
	// bodyMemoryDivisor sets the part of the memory limit that request bodies may occupy: the limit divided by this number.
	bodyMemoryDivisor = 4
)

// listenerServer serves HTTP clients on one listener.
type listenerServer struct {
	app      *App
	settings config.Listener
	rules    *forwarded.Rules
	h1       *h1server.Server
	http     *http.Server
	h2       *h2server.Server // nil: the listener serves only HTTP/1.1
}

// Serve is ServeListener with the settings of the first configured listener.
func (a *App) Serve(ctx context.Context, l net.Listener) error {
	return a.ServeListener(ctx, gracefulclose.WrapListener(l), a.state.Load().program.Listener)
}

// ServeListener serves clients on a listener until ctx ends, and returns once requests in flight are answered. It fails if
// the settings can't be applied or the listener ends by itself.
func (a *App) ServeListener(ctx context.Context, l net.Listener, settings config.Listener) error {
	s, err := a.newListenerServer(settings)
	if err != nil {
		return err
	}
	defer func() {
		a.Log.Info("client connections ended", "listener", settings.Name, "reasons", s.h1.ConnectionEnds(),
			"turn_waits", s.h1.Shares().Waits)
	}()
	defer s.http.Close()
	defer s.h1.CloseTunnels()
	listener := s.h1.Listener(l)
	accept := listener
	if settings.Proxy != "" {
		accept = proxyProtocolListener(listener, s.rules, settings.Proxy == "required")
	}
	ended := make(chan error, 1)
	go func() { ended <- s.h1.Serve(s.http, accept) }()
	a.Log.Info("serving", "addr", l.Addr().String(), "listener", settings.Name, "tls", settings.TLS)
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.h1.FailHealthChecks()
	s.h1.CloseAfterResponses()
	listener.Close()
	if s.h2 != nil {
		s.h2.StartDrain() // HTTP/2 clients open their next streams on other connections
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	s.drain()
	return nil
}

// newListenerServer returns a server with the settings of a listener.
func (a *App) newListenerServer(settings config.Listener) (*listenerServer, error) {
	trustedProxies, err := forwarded.ParseTrustedProxies(strings.Fields(settings.Trust))
	if err != nil {
		return nil, err
	}
	rules := &forwarded.Rules{TrustedProxies: trustedProxies, WriteForwarded: settings.Forwarded}
	s := &listenerServer{app: a, settings: settings, rules: rules}
	o := h1server.Options{
		Clock: a.clock, Log: a.Log, MaxBodyBytes: settings.MaxBody, ForwardedHeaders: s.rules,
		MaxHeaderBytes: settings.MaxHead, StallTimeout: settings.Stall, BodyMemory: a.bodyMemory(),
		ConnectionLimits: connlimit.Limits{
			Active: settings.Connections, Reserve: max(1, settings.Connections/reserveDivisor),
			New: settings.NewConnections, Overflow: max(1, settings.Connections/overflowDivisor),
		},
	}
	if settings.TLS {
		if a.Keys == nil {
			return nil, errNoKeys
		}
		clients := tlskeys.ClientAuth{Roots: settings.ClientRoots, Require: settings.RequireClientCert}
		o.TLS = a.Keys.ServerConfig(clients, protocols(&settings)...)
	}
	s.h1 = h1server.New(a.dedupRouter(), o)
	s.h1.SetReady()
	s.http = s.h1.HTTPServer()
	if settings.HTTP2 > 0 {
		s.h2 = h2server.Attach(s.http, h2server.Options{
			MaxStreams: settings.HTTP2, StallTimeout: settings.Stall, Clock: a.clock, Log: a.Log,
			FloodLimits: h2flood.Limits{
				ResetsPerSecond: settings.Resets, ControlFramesPerSecond: settings.Controls,
				ContinuationsPerBlock: settings.Pieces,
			},
		})
	}
	return s, nil
}

// bodyMemory returns the memory of one listener for the request bodies that it holds, in bytes: its part of a quarter of the
// memory limit, or 0 for the default if there is no limit.
func (a *App) bodyMemory() int64 {
	program := a.state.Load().program
	return program.MemoryLimit / bodyMemoryDivisor / int64(max(1, len(program.Listeners)))
}

// protocols returns the protocols that the listener offers in the TLS handshake (ALPN, RFC 7301), in order of preference.
func protocols(settings *config.Listener) []string {
	if settings.HTTP2 == 0 {
		return []string{"http/1.1"}
	}
	return []string{"h2", "http/1.1"}
}

// drain waits until the requests in flight have ended, but no longer than the longest deadline of a class, the deadline of a
// request that came under an earlier version, or the listener's drain timeout, whichever is longest, plus
// connectionDrainMargin.
func (s *listenerServer) drain() {
	timeout := max(s.app.drainTimeout(&s.settings), s.h1.LastDeadline()-s.app.clock.Now()+connectionDrainMargin)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// A request whose deadline is later than this is rejected, since the end of the drain would close its connection before
	// its answer. The classes' deadlines may change meanwhile.
	s.h1.RejectDeadlinesAfter(s.app.clock.Now() + timeout - finalAnswerMargin)
	// Connections without a request are closed shortly before the end, since a request that arrived on them at the end
	// would get no answer.
	defer time.AfterFunc(timeout-finalAnswerMargin, s.h1.CloseIdleConnections).Stop()
	s.h1.Drain(ctx)
	if s.h2 == nil {
		return
	}
	s.h2.StartDrain() // for the connections on which HTTP/2 began after the first call
	// Idle HTTP/2 connections end by themselves after StartDrain, and Shutdown waits for them. Shutdown is called last,
	// since after it net/http drops HTTP/1.1 requests that it has read. At this point HTTP/1.1 connections are only left
	// if the drain timed out.
	if ctx.Err() != nil {
		ctx, cancel = context.WithTimeout(context.Background(), connectionDrainMargin)
		defer cancel()
	}
	s.http.Shutdown(ctx)
}

// drainTimeout returns the longest time that the drain of a listener with these settings takes.
func (a *App) drainTimeout(settings *config.Listener) time.Duration {
	return max(a.state.Load().longestDeadline(), settings.Drain) + connectionDrainMargin
}

// longestDeadline returns the longest deadline of all classes.
func (s *state) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.program.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// proxyProtocolListener returns a listener that accepts a PROXY protocol header (version 1 or 2), with the client's
// address, at the start of connections from trusted proxies. If required is true, trusted proxies must send the header
// and connections from other peers are rejected. Otherwise the header is optional, and a header from an untrusted peer is
// read as a malformed request.
func proxyProtocolListener(l net.Listener, rules *forwarded.Rules, required bool) net.Listener {
	return &proxyproto.Listener{
		Listener: l, ReadHeaderTimeout: proxyHeaderTimeout,
		ConnPolicy: func(o proxyproto.ConnPolicyOptions) (proxyproto.Policy, error) {
			switch trusted := rules.Trusts(forwarded.ParseAddr(o.Upstream.String())); {
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
