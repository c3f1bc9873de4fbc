package app

import (
	"context"
	"fmt"
	"net"

	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/idempotency"
	"yokestall/internal/tlskeys"
)

// NewProcessor returns the external processing server, which other proxies call to learn where to send their requests.
func (a *App) NewProcessor(set config.ExtProc) *extproc.Server {
	return extproc.New(extproc.Options{
		Clock: a.clock, Router: a, Log: a.Log,
		MaxStreams: set.Streams, MaxHeaderBytes: set.Head, MaxMessageBytes: set.Message,
		MaxBufferedBytes: set.Buffer, MaxResponseBytes: set.Answer,
		FirstMessageTimeout: set.First, RetryStreamTimeout: set.Report, AllowModeOverride: set.Override,
		Idempotency: idempotency.Limits{
			Entries: set.Repeats, Bytes: set.RepeatBytes, Joiners: maxJoiners,
			Tenants: len(a.state.Load().program.Tenants),
		},
	})
}

// ServeProcessor serves other proxies on a listener until ctx ends, and returns once requests in flight are answered. It
// fails if the listener can't be served or ends by itself.
func (a *App) ServeProcessor(ctx context.Context, l net.Listener, s *extproc.Server, set config.ExtProc) error {
	o := extproc.ListenOptions{
		MaxConnections: set.Connections, MaxStreamsPerConnection: set.PerConn, MinDrainTimeout: set.Drain,
	}
	if set.TLS {
		if a.Keys == nil {
			return fmt.Errorf("extproc: %w", errNoKeys)
		}
		o.TLS = a.Keys.ServerConfig(tlskeys.ClientAuth{Roots: set.ClientRoots, Require: set.RequireClientCert}, "h2")
	}
	a.Log.Info("serving external processor", "addr", l.Addr().String(), "tls", set.TLS)
	return s.Serve(ctx, l, o)
}
