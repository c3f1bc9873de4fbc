// Package node is the load balancer on real sockets: it carries out the
// decisions of package policy and makes none of its own.
package node

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	ownDescriptors = 32 // standard streams, runtime, listener, discovery
	// frontNotice is how long connections are still dealt to a node that stops.
	frontNotice = 500 * time.Millisecond
	// stopSlack is added to the longest deadline before a stop is forced.
	stopSlack = 100 * time.Millisecond
)

// Node is one load balancer. Create it with Listen.
type Node struct {
	cfg      *Config
	listener net.Listener
}

// Listen takes the node's address.
func Listen(cfg *Config) (*Node, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Node{cfg: cfg, listener: l}, nil
}

// Addr is where the node listens.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Run serves until the context ends, then answers what was taken and returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.listener.Close()
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	free := n.cfg.Limits.Sockets - ownDescriptors
	spare := free / 20
	up := newUpstreams(n.cfg, free/2)
	loop, err := newLoop(inner, n.cfg, up)
	if err != nil {
		return err
	}
	front := &frontend{cfg: n.cfg, loop: loop, conns: clientConns{
		max: free - free/2 - spare, spare: spare, place: map[net.Conn]*list.Element{},
	}}
	disco := newDiscovery(n.cfg, loop)
	go loop.run()
	go up.retire(inner)
	go disco.run(inner, n.cfg.Known, func() { front.ready.Store(true) })

	srv := front.server()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(cappedListener{n.listener, &front.conns}) }()
	slog.Info("serving", "name", n.cfg.Name, "addr", n.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	slog.Info("stopping")
	front.draining.Store(true)
	time.Sleep(frontNotice) // the front notices late: what it still deals is served
	limit, cancel := context.WithTimeout(context.Background(), n.cfg.longestDeadline()+stopSlack)
	defer cancel()
	if err := srv.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop: %w", err)
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
