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

// fleetConfig returns the agent configuration of the node that the configuration file at path describes. Relative paths
// in p are relative to that file. Without keys (nil) the node's connections use no TLS.
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

// fleetMember is the membership of this program in a fleet: a node that has the app act on the fleet's agreed versions.
type fleetMember struct {
	node     *agent.Node
	listener net.Listener // accepts the other nodes' calls; nil: no calls are accepted
	source   *app.AgreedSource
}

// openFleetMember creates an app that acts on the fleet's agreed versions, and opens its node. The node does not run
// until run is called.
func openFleetMember(p *config.Program, o app.Options, options serveOptions) (*app.App, *fleetMember, error) {
	m := &fleetMember{}
	o.LeaseValid = func() bool { return m.node.MayServe() }
	c := fleetConfig(p, o.Path, o.Keys, o.Log)
	c.Clock = options.clock
	if options.hooks != nil {
		c.Hooks = *options.hooks
	}
	a, err := app.New(app.EmptyConfiguration(p), o)
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

// open opens the node, and a listener on the address unless the address is empty.
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

// run runs the node until ctx ends. If the node's RPC server fails, run logs the error and the node goes on without it.
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
