// Package node is the platform's node: one HTTP server for clients, one cluster and the platform's
// endpoint list, assembled from its configuration.
//
// The platform is what the node's processes run on. Three parts of it matter here: its supervisor, which
// starts processes and ends them by SIGTERM and later SIGKILL; its routing, which sends the clients'
// connections to the nodes; and its discovery service, which has the endpoint list.
//
// The files:
//
//	node.go, assemble.go                    a node's parts and its run
//	shutdown.go                             the schedule of a shutdown
//	command.go                              the command line, and reloads on a signal
//	config.go, configfile.go, settings.go   the configuration: environment, file, operators' settings
//	routing.go                              from a request's path to its class
//	descriptors.go                          the split of the descriptors
//	hotrestart.go, snapshotexchange.go      the node's other process: coordination, the learnt state
//	adminhandler.go, endpointadmin.go       administrative changes and the node's status
//	endpointwatcher.go                      the discovery client, with a list of its files
//	endpointlist.go                         the form of the list that a process starts from
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/hotrestart"
)

// successorListTimeout bounds how long a successor waits for an endpoint list before it accepts clients, which
// the predecessor serves meanwhile. It suffices for an unresponsive call and the retry interval after it
// (discovery.PolledTiming).
const successorListTimeout = 4 * time.Second

// Node is one load balancer. Create it with Listen.
type Node struct {
	cfg            *Config
	log            *slog.Logger
	listener       net.Listener // the clients'
	adminListener  net.Listener // nil: no admin API
	discoveryMoved chan string  // the latest new address of discovery
}

// Listen opens the node's listeners. The error wraps that of the listener.
func Listen(cfg *Config) (*Node, error) {
	l, err := hotrestart.Listen(cfg.InheritedSocket, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n := &Node{cfg: cfg, log: cfg.Log, listener: l, discoveryMoved: make(chan string, 1)}
	if n.log == nil {
		n.log = slog.Default()
	}
	if cfg.AdminAddr == "" {
		return n, nil
	}
	if n.adminListener, err = net.Listen("tcp", cfg.AdminAddr); err != nil {
		l.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return n, nil
}

// Addr returns the address at which the node accepts clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// MoveDiscovery has the node follow the endpoint list at another address of discovery. It must not be
// called concurrently.
func (n *Node) MoveDiscovery(addr string) {
	select {
	case <-n.discoveryMoved: // only the latest address counts
	default:
	}
	n.discoveryMoved <- addr
}

// Run serves until the context ends, then answers the requests that it has accepted, and returns. It
// returns an error where the limits or the policy's settings are not usable, or where the listener
// failed.
//
// Run ends all goroutines that it started: it waits for the admin API and the restart coordinator;
// those of the endpoint list and of the connection pool end soon after it.
func (n *Node) Run(ctx context.Context) error {
	defer n.closeListeners()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	running, err := n.assemble(background)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	defer func() {
		stopBackground()
		tasks.Wait()
		running.restart.close()
	}()
	n.start(background, &tasks, running)
	ready := n.followEndpoints(ctx, background, running)
	n.awaitEndpoints(ctx, running, ready)
	s := n.serve(running)
	defer s.http.Close()
	select {
	case err := <-s.failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return n.shutDown(running, s)
	}
}

// closeListeners closes what Listen has opened.
func (n *Node) closeListeners() {
	if n.adminListener != nil {
		n.adminListener.Close()
	}
	n.listener.Close()
}

// start starts the admin API and the restart coordinator, which tasks counts, and the retirement of idle
// connections.
func (n *Node) start(background context.Context, tasks *sync.WaitGroup, running *runningNode) {
	if n.adminListener != nil {
		tasks.Go(func() { adminapi.Serve(background, n.adminListener, running.admin) })
	}
	if running.restart != nil {
		tasks.Go(func() { running.restart.run(background) })
	}
	go running.pool.EvictIdle(background)
}

// followEndpoints starts to follow the endpoint list, from what a predecessor passed on or else from
// the configuration's. The channel is closed once the node may report that it is ready.
func (n *Node) followEndpoints(ctx, background context.Context, running *runningNode) (ready <-chan struct{}) {
	initial := n.cfg.InitialList
	if running.restart != nil {
		if s := running.restart.receiveSnapshot(ctx); s != nil {
			initial = s.initialList(initial)
			running.endpoints.onFirstUpdate = func() { running.cluster.Restore(s.Policy.ToPolicy(running.clock), s.age) }
		}
	}
	reached := make(chan struct{})
	markReady := sync.OnceFunc(func() {
		running.httpServer.SetReady()
		close(reached)
	})
	go running.endpoints.run(background, initial, markReady)
	return reached
}

// awaitEndpoints waits until there is an endpoint list to serve by, or none is waited for any more.
// Meanwhile connections queue in the kernel, or a predecessor accepts them: a successor waits until it
// is ready, for successorListTimeout at most.
func (n *Node) awaitEndpoints(ctx context.Context, running *runningNode, ready <-chan struct{}) {
	if running.restart.hasPredecessor() {
		select {
		case <-ready:
		case <-time.After(successorListTimeout):
		case <-ctx.Done():
		}
	}
	select {
	case <-running.endpoints.initialized:
	case <-ctx.Done():
	}
}

// clientServer is the HTTP server that accepts clients.
type clientServer struct {
	http     *http.Server
	listener net.Listener
	failed   chan error // gets the error of http.Server.Serve
}

// serve starts to accept clients. The server's goroutine ends when its listener is closed.
func (n *Node) serve(running *runningNode) *clientServer {
	s := &clientServer{
		http:     running.httpServer.HTTPServer(),
		listener: running.httpServer.Listener(n.listener),
		failed:   make(chan error, 1),
	}
	go func() { s.failed <- s.http.Serve(s.listener) }()
	running.restart.advancePhase(hotrestart.PhaseServing)
	if n.adminListener != nil {
		n.log.Info("admin API listening", "addr", n.adminListener.Addr().String())
	}
	n.log.Info("serving", "name", n.cfg.Name, "addr", n.Addr().String())
	return s
}
