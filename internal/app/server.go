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
	// connectionDrainMargin is how long the shutdown of a listener waits for connections after the longest deadline.
	connectionDrainMargin = 300 * time.Millisecond
	// finalAnswerMargin is how long before the end of a shutdown the last answers are sent, whatever the deadlines.
	finalAnswerMargin = 50 * time.Millisecond
	// proxyHeaderTimeout bounds the time in which a connection has to send its PROXY protocol header.
	proxyHeaderTimeout = 2 * time.Second
	// reserveDivisor gives the part of a listener's connections that idle ones leave to other clients.
	reserveDivisor = 16
	// overflowDivisor gives, as a part of a listener's connections, those beyond it that only get a response with
	// Retry-After.
	overflowDivisor = 16
)

// listenerServer serves HTTP clients on one listener.
type listenerServer struct {
	app      *App
	settings config.Listener
	rules    *forwarded.Rules
	h1       *h1server.Server
	http     *http.Server
	h2       *h2server.Server // nil: HTTP/1.1 alone
}

// Serve serves clients on a listener by the settings of the first configured one. See ServeListener.
func (a *App) Serve(ctx context.Context, l net.Listener) error {
	return a.ServeListener(ctx, gracefulclose.WrapListener(l), a.state.Load().program.Listener)
}

// ServeListener serves clients on a listener until ctx ends, and returns once requests in flight are answered. The
// error says why the listener can't be served, or how it failed.
func (a *App) ServeListener(ctx context.Context, l net.Listener, settings config.Listener) error {
	s, err := a.newListenerServer(settings)
	if err != nil {
		return err
	}
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

// newListenerServer returns a server by a listener's settings.
func (a *App) newListenerServer(settings config.Listener) (*listenerServer, error) {
	trust, err := forwarded.ParseTrustedProxies(strings.Fields(settings.Trust))
	if err != nil {
		return nil, err
	}
	rules := &forwarded.Rules{TrustedProxies: trust, WriteForwarded: settings.Forwarded}
	s := &listenerServer{app: a, settings: settings, rules: rules}
	o := h1server.Options{
		Clock: a.clock, Log: a.Log, MaxBodyBytes: settings.MaxBody, ForwardedHeaders: s.rules,
		MaxHeaderBytes: settings.MaxHead, StallTimeout: settings.Stall,
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

// protocols returns the protocols that TLS offers (RFC 7301), in order of preference.
func protocols(settings *config.Listener) []string {
	if settings.HTTP2 == 0 {
		return []string{"http/1.1"}
	}
	return []string{"h2", "http/1.1"}
}

// drain waits for the requests in flight, for the longest deadline and at least the time for streams.
func (s *listenerServer) drain() {
	deadline := s.app.state.Load().longestDeadline()
	timeout := max(deadline, s.settings.Drain) + connectionDrainMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// Requests from before this time have their whole deadline; later ones would be cut off with their connections.
	defer time.AfterFunc(timeout-deadline-finalAnswerMargin, s.h1.RejectNewRequests).Stop()
	// Connections without a request are closed before the end, when a request on them would get no answer.
	defer time.AfterFunc(timeout-finalAnswerMargin, s.h1.CloseIdleConnections).Stop()
	s.h1.Drain(ctx)
	if s.h2 == nil {
		return
	}
	// Idle HTTP/2 connections end by themselves after StartDrain, and Shutdown waits for them. It comes last: from here on
	// net/http drops HTTP/1.1 requests that it has read, and no such connections are left unless the time is over.
	if ctx.Err() != nil {
		ctx, cancel = context.WithTimeout(context.Background(), connectionDrainMargin)
		defer cancel()
	}
	s.http.Shutdown(ctx)
}

// longestDeadline returns the longest deadline of the classes.
func (s *state) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.program.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// proxyProtocolListener returns a listener whose trusted connections begin with a PROXY protocol header (version 1 or
// 2), which has the client's address. From other connections a header is a malformed request; where headers are
// required, other connections are rejected.
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
