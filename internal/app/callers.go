package app

import (
	"context"
	"errors"
	"net"

	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/idempotency"
	"yokestall/internal/tlskeys"
)

// maxJoiners is how many may wait for one request under a key.
const maxJoiners = 64

// NewProcessor makes the front for other proxies.
func (a *App) NewProcessor(set config.ExtProc) *extproc.Server {
	return extproc.New(extproc.Options{
		Clock: a.clock, Router: a, Log: a.Log, MaxStreams: set.Streams, MaxHeaderBytes: set.Head, MaxMessageBytes: set.Message,
		MaxBufferedBytes: set.Buffer, MaxResponseBytes: set.Answer, FirstMessageTimeout: set.First, RetryStreamTimeout: set.Report, AllowModeOverride: set.Override,
		Idempotency: idempotency.Limits{
			Entries: set.Repeats, Bytes: set.RepeatBytes, Joiners: maxJoiners, Tenants: len(a.state.Load().program.Tenants),
		},
	})
}

// ServeProcessor serves other proxies on a listener until ctx ends, then answers what was taken.
func (a *App) ServeProcessor(ctx context.Context, l net.Listener, s *extproc.Server, set config.ExtProc) error {
	with := extproc.ListenOptions{MaxConnections: set.Connections, MaxStreamsPerConnection: set.PerConn, MinDrainTimeout: set.Drain}
	if set.TLS {
		if a.Keys == nil {
			return errors.New("extproc: tls: the program has no [keys] folder")
		}
		with.TLS = a.Keys.Server(tlskeys.Clients{Roots: set.ClientRoots, Require: set.ClientNeeds}, "h2")
	}
	a.Log.Info("serving external processor", "addr", l.Addr().String(), "tls", set.TLS)
	return s.Serve(ctx, l, with)
}
