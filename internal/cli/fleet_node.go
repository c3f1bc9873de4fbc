package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/tlskeys"
)

// fleetConfig gives what a program's file says of its fleet, as a node of it wants it. keys may be nil.
func fleetConfig(p *config.Program, path string, keys *tlskeys.Store, log *slog.Logger) agent.Config {
	a := &p.Agree
	c := agent.Config{Fleet: a.Name, Name: a.Node, Dir: files.Beside(path, a.Folder), Lease: a.Lease, Disconnected: a.Disconnected, Log: log}
	for _, v := range a.Voters {
		c.Voters = append(c.Voters, agent.Voter{Name: v.Name, Address: v.Address})
	}
	if keys != nil && a.Roots != "" {
		c.ServerTLS = keys.Server(tlskeys.Clients{Roots: a.Roots, Require: true}, "h2")
		c.ClientTLS = keys.Client(tlskeys.Servers{Roots: a.Roots, Certificate: a.Certificate})
	}
	return c
}

// member is the node of a program that takes part in a fleet's agreement.
type member struct {
	node   *agent.Node
	listen net.Listener // nil: it is asked nothing
}

// join opens the node that has an app act on what the fleet agrees on.
func join(c agent.Config, p *config.Program) (m *member, err error) {
	m = &member{}
	if m.node, err = agent.Open(c); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if p.Agree.Listen != "" {
		if m.listen, err = net.Listen("tcp", p.Agree.Listen); err != nil {
			m.node.Close()
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	return m, nil
}

// run has the node take part until ctx ends, or it can't be asked any more.
func (m *member) run(ctx context.Context, log *slog.Logger) {
	served := make(chan struct{})
	go func() {
		defer close(served)
		if m.listen == nil {
			return
		}
		if err := m.node.Serve(ctx, m.listen); err != nil {
			log.Error("fleet RPC server stopped", "err", err)
		}
	}()
	m.node.Run(ctx)
	<-served
	if err := m.node.Close(); err != nil {
		log.Error("closing the fleet store failed", "err", err)
	}
}

// agreed starts an app that acts on what the fleet agrees on.
func agreed(first *files.Snapshot, o app.Options, path string, clock func() time.Duration, hooks *agent.Hooks) (*app.App, *app.AgreedSource, *member, error) {
	p := first.Program
	var source *app.AgreedSource
	var m *member
	o.LeaseValid = func() bool { return m.node.MayServe() }
	c := fleetConfig(p, path, o.Keys, o.Log)
	c.Clock = clock
	if hooks != nil {
		c.Hooks = *hooks
	}
	a, err := app.New(app.EmptySnapshot(p), o)
	if err != nil {
		return nil, nil, nil, err
	}
	source = app.NewAgreedSource(a, p)
	c.Parse, c.Extend, c.Apply = source.Parse, source.Extend, source.Apply
	if m, err = join(c, p); err != nil {
		a.Close()
		return nil, nil, nil, err
	}
	return a, source, m, nil
}
