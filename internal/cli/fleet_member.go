package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/tlskeys"
)

// fleetConfig returns the node's configuration from the program's file at a path. keys may be nil: no TLS.
func fleetConfig(p *config.Program, path string, keys *tlskeys.Store, log *slog.Logger) agent.Config {
	a := &p.Agree
	c := agent.Config{
		Fleet:        a.Name,
		Name:         a.Node,
		Dir:          files.Beside(path, a.Folder),
		Lease:        a.Lease,
		Disconnected: a.Disconnected,
		Log:          log,
	}
	for _, v := range a.Voters {
		c.Voters = append(c.Voters, agent.VoterAddress{Name: v.Name, Address: v.Address})
	}
	if keys != nil && a.Roots != "" {
		c.ServerTLS = keys.ServerConfig(tlskeys.ClientAuth{Roots: a.Roots, Require: true}, "h2")
		c.ClientTLS = keys.ClientConfig(tlskeys.ServerAuth{Roots: a.Roots, Certificate: a.Certificate})
	}
	return c
}

// fleetMember is a program's part in a fleet: the node that has its app act on what the fleet agrees on.
type fleetMember struct {
	node     *agent.Node
	listener net.Listener // for the other nodes' calls; nil: it takes none
	source   *app.AgreedSource
}

// openFleetMember makes an app that acts on what the fleet agrees on, and opens its node, which does not run yet.
func openFleetMember(p *config.Program, o app.Options, options serveOptions) (*app.App, *fleetMember, error) {
	m := &fleetMember{}
	o.LeaseValid = func() bool { return m.node.MayServe() }
	c := fleetConfig(p, o.Path, o.Keys, o.Log)
	c.Clock = options.clock
	if options.hooks != nil {
		c.Hooks = *options.hooks
	}
	a, err := app.New(app.EmptySnapshot(p), o)
	if err != nil {
		return nil, nil, err
	}
	m.source = app.NewAgreedSource(a, p)
	c.Parse, c.Extend, c.Apply = m.source.Parse, m.source.Extend, m.source.Apply
	if err := m.open(c, p.Agree.Listen); err != nil {
		a.Close()
		return nil, nil, fmt.Errorf("fleet: %w", err)
	}
	return a, m, nil
}

// open opens the node and its listener; an empty address is none.
func (m *fleetMember) open(c agent.Config, address string) error {
	var err error
	if m.node, err = agent.Open(c); err != nil {
		return err
	}
	if address == "" {
		return nil
	}
	if m.listener, err = net.Listen("tcp", address); err != nil {
		m.node.Close()
		return err
	}
	return nil
}

// run has the node take part until ctx ends. It goes on without its RPC server if that one fails.
func (m *fleetMember) run(ctx context.Context, log *slog.Logger) {
	served := make(chan struct{})
	go func() {
		defer close(served)
		if m.listener == nil {
			return
		}
		if err := m.node.Serve(ctx, m.listener); err != nil {
			log.Error("fleet RPC server stopped", "err", err)
		}
	}()
	m.node.Run(ctx)
	<-served
	if err := m.node.Close(); err != nil {
		log.Error("closing the fleet store failed", "err", err)
	}
}
