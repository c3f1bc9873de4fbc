// Package node is the platform's node: one HTTP front, one cluster and the platform's
// list of servers, put together from its configuration.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/engine"
	"yokestall/internal/gracefulclose"
	"yokestall/internal/hotrestart"
	"yokestall/internal/hotrestart/snapshot"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

const (
	ownDescriptors = 30   // standard streams, runtime, listener, discovery
	serversPart    = 0.45 // of the other descriptors; those of clients may be silent or idle
	maxBody        = 64 << 20
	streamStall    = 5 * time.Second // how long a long answer may stand still, at either side
	// settle is how long behind an answer another one may come that belongs to nobody: some
	// milliseconds (the operators' page on the standing test). Nothing in it names its request.
	settle = 20 * time.Millisecond
	// sendPart is the part of the grace of drains that is left to sends decided before: the
	// word of the drain has been on its way here for the rest (discovery.PushedTiming).
	sendPart = 5
	heldPart = 4 // of the memory, its part that request bodies may hold
)

// Node is one load balancer. Create it with Listen.
type Node struct {
	cfg      *Config
	log      *slog.Logger
	listener net.Listener
	mgmt     net.Listener // the operators'; nil: none
	moved    chan string  // the latest new address of discovery
}

// Listen takes the node's address.
func Listen(cfg *Config) (*Node, error) {
	l, err := hotrestart.Listen(cfg.Passed, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n := &Node{cfg: cfg, log: cfg.Log, listener: l, moved: make(chan string, 1)}
	if n.log == nil {
		n.log = slog.Default()
	}
	if cfg.Mgmt != "" {
		if n.mgmt, err = net.Listen("tcp", cfg.Mgmt); err != nil {
			l.Close()
			return nil, fmt.Errorf("listen for operators: %w", err)
		}
	}
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// MoveDiscovery has the node follow the list of servers at another address. One
// caller at a time.
func (n *Node) MoveDiscovery(addr string) {
	select {
	case <-n.moved: // only the latest matters
	default:
	}
	n.moved <- addr
}

// Run serves until the context ends, then answers what was taken and returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.listener.Close()
	if n.mgmt != nil {
		defer n.mgmt.Close()
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	servers, places, err := n.cfg.split(n.cfg.Limits.Sockets)
	if err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	clock := engine.NewClock()
	disco := newEndpointWatcher(n.cfg, clock, n.moved, n.log)
	pool := h1client.New(h1client.Options{
		ServersIdle: n.cfg.ConnIdle, ConnectTimeout: n.cfg.ConnectTimeout, MaxOpen: servers, Large: true, Settle: settle,
		Nodes: n.cfg.Policy.NodeCount, Prices: n.cfg.IdlePrices,
	})
	cluster, err := engine.New(inner, n.cfg.Policy, pool, engine.Options{
		Seed: n.cfg.Seed, Clock: clock, WatchEndpoints: disco.requestPoll, DrainGrace: max(1, n.cfg.DrainGrace/sendPart),
	})
	if err != nil {
		return err
	}
	disco.sink = sink{cluster, pool}
	front := h1server.New(router{n.cfg, cluster}, h1server.Options{
		Clock: clock, Places: places, Strict: true, Log: n.log,
		Stall: streamStall, MaxBody: maxBody, Held: int64(n.cfg.Limits.MemoryMB) << 20 / heldPart,
	})
	disco.requestCount = front.Taken
	operators := &admin{ctx: inner, disco: disco, front: front, log: n.log}
	var others *shared
	if n.cfg.Passed != "" { // another process of the node may be there
		others = join(sharedParts{n.cfg, clock, cluster, front, pool, operators, n.log})
		operators.shared = others
		defer others.close()
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	if n.mgmt != nil {
		background.Go(func() { adminapi.Serve(inner, n.mgmt, operators) })
	}
	if others != nil {
		background.Go(func() { others.run(inner) })
	}
	go pool.Retire(inner)
	start := n.cfg.Known
	if others != nil {
		var taken *snapshot.Snapshot
		var age time.Duration
		if start, taken, age = others.inherit(ctx); taken != nil {
			disco.onFirstUpdate = func() { cluster.Restore(taken.Module.ToModule(clock), age) }
		}
	}
	listed := make(chan struct{})
	ready := sync.OnceFunc(func() { front.Ready(); close(listed) })
	go disco.run(inner, start, ready)
	if others.heir() { // the earlier process takes the clients meanwhile
		select {
		case <-listed:
		case <-time.After(listWaits):
		case <-ctx.Done():
		}
	}
	select { // connections wait in the kernel meanwhile
	case <-disco.initialized:
	case <-ctx.Done():
	}
	srv := front.Server()
	defer srv.Close()
	listener := front.Listener(n.listener)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(listener) }()
	others.be(hotrestart.Serving)
	if n.mgmt != nil {
		n.log.Info("operators are heard", "at", n.mgmt.Addr().String())
	}
	n.log.Info("serving", "name", n.cfg.Name, "addr", n.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	began := time.Now()
	plan := planStop(n.cfg.longestDeadline())
	n.log.Info("stopping", "longest deadline", n.cfg.longestDeadline(), "over within", plan.whole)
	limit, cancel := context.WithDeadline(context.Background(), began.Add(plan.whole))
	defer cancel()
	last := time.AfterFunc(time.Until(began.Add(plan.abandons())), func() {
		cluster.Abort()
		front.CloseSilent() // what they send now would find nobody
	})
	defer last.Stop()
	if others.succeeded() { // what is queued in the kernel, and all that comes, is the later one's
		listener.Close()
		others.be(hotrestart.Leaving)
		front.Leave(limit, plan.idles())
		n.log.Info("left to the later process", "connections", front.Connections(), "after", time.Since(began))
		return nil
	}
	front.Stopping()
	for e, before := (ending{plan: plan}), time.Now(); ; {
		time.Sleep(gracefulclose.PollInterval)
		now := time.Now()
		if e.over(now.Sub(before), now.Sub(began), front.Asked().Sub(began)) {
			break
		}
		before = now
	}
	front.Draining()
	listener.Close()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	// Not http.Server.Shutdown: it drops requests that are just being read.
	front.Drain(limit)
	return nil
}

// sink has both the cluster and the pool of connections follow the list.
type sink struct {
	*engine.Cluster
	pool *h1client.Pool
}

func (s sink) Servers(whole bool, list []h1client.Server) { s.pool.Update(whole, list) }

// router sends all to the one cluster; the first part of the path is the class.
type router struct {
	cfg     *Config
	cluster *engine.Cluster
}

// Route implements ingress.Router.
func (r router) Route(req *http.Request) (ingress.Destination, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	class, ok := r.cfg.Classes[name]
	if !ok {
		return ingress.Destination{}, &ingress.Rejection{Status: http.StatusNotFound, Text: "unknown class"}
	}
	c := &r.cfg.Policy.Classes[class]
	return ingress.Destination{
		Cluster: r.cluster, Class: class, Effect: c.Idempotency, Deadline: c.Deadline,
		Tenants: r.cfg.Tenants, MaxRetryAfter: r.cfg.Policy.Limits.MaxRetryAfter,
		Streams: h1client.StreamLimits{Stall: streamStall},
	}, nil
}
