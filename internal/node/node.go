// Package node implements a node of the platform: an HTTP server for clients and a single cluster that follows the
// platform's endpoint list.
//
// The platform is the environment in which the node's processes run. Three parts of it matter here: its supervisor starts
// processes and ends them with SIGTERM and later SIGKILL, its routing distributes the clients' connections among the nodes,
// and its discovery service has the endpoint list.
//
// The files:
//
//	node.go, assemble.go                    a node's components and lifecycle
//	shutdown.go                             the schedule of a shutdown
//	command.go                              the command line, and reloads on a signal
//	config.go, configfile.go, settings.go   the configuration: environment, file, operators' settings
//	routing.go                              the class of a request by its path
//	descriptors.go                          the division of the descriptors among connections
//	hotrestart.go, snapshotexchange.go      coordination with the node's other process, and snapshots
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

// successorListTimeout is how long a successor waits at most for an endpoint list before it accepts clients. The predecessor
// serves the clients meanwhile. The time suffices for an unresponsive call and the retry interval after it
// (discovery.PolledTiming).
const successorListTimeout = 4 * time.Second

// Node is a load balancer. Create it with Listen.
type Node struct {
	cfg              *Config
	log              *slog.Logger
	listener         net.Listener // for clients
	adminListener    net.Listener // nil if the admin API is disabled
	newDiscoveryAddr chan string  // holds the latest new address of the discovery service
}

// Listen opens the listeners for clients and for the admin API. The error wraps that of the listener that failed.
func Listen(cfg *Config) (*Node, error) {
	l, err := hotrestart.Listen(cfg.InheritedSocket, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	n := &Node{cfg: cfg, log: cfg.Log, listener: l, newDiscoveryAddr: make(chan string, 1)}
	if n.log == nil {
		n.log = slog.Default()
	}
	if cfg.AdminAddr == "" {
		return n, nil
	}
	if n.adminListener, err = net.Listen("tcp", cfg.AdminAddr); err != nil {
		l.Close()
		return nil, fmt.Errorf("listen for the admin API: %w", err)
	}
	return n, nil
}

// Addr returns the address on which the node accepts clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// MoveDiscovery makes the node follow the endpoint list at another address of the discovery service. It must not be called
// concurrently.
func (n *Node) MoveDiscovery(addr string) {
	select {
	case <-n.newDiscoveryAddr: // drop an address that was not taken yet
	default:
	}
	n.newDiscoveryAddr <- addr
}

// Run serves until ctx is done, then answers the requests that it has accepted, and returns. It returns an error if the
// limits or the policy's settings are unusable, or if the listener failed.
//
// Run stops all goroutines that it started. It waits for those of the admin API and the restart coordinator; those of the
// endpoint watcher and the connection pool end soon after Run has returned.
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
		return fmt.Errorf("serve clients: %w", err)
	case <-ctx.Done():
		return n.shutDown(running, s)
	}
}

// closeListeners closes the listeners that Listen has opened.
func (n *Node) closeListeners() {
	if n.adminListener != nil {
		n.adminListener.Close()
	}
	n.listener.Close()
}

// start starts the admin API and the restart coordinator, whose goroutines it adds to tasks, and the eviction of idle
// upstream connections.
func (n *Node) start(background context.Context, tasks *sync.WaitGroup, running *runningNode) {
	if n.adminListener != nil {
		tasks.Go(func() { adminapi.Serve(background, n.adminListener, running.admin) })
	}
	if running.restart != nil {
		tasks.Go(func() { running.restart.run(background) })
	}
	go running.pool.EvictIdle(background)
}

// followEndpoints starts to follow the endpoint list. It begins with the list in a predecessor's snapshot, or else with the
// list of the configuration. The returned channel is closed once the node is ready.
func (n *Node) followEndpoints(ctx, background context.Context, running *runningNode) (ready <-chan struct{}) {
	initial := n.cfg.InitialList
	if running.restart != nil {
		if s := running.restart.receiveSnapshot(ctx); s != nil {
			initial = s.initialList(initial)
			running.endpoints.onFirstUpdate = func() { running.cluster.Restore(s.Policy.ToPolicy(running.clock), s.age) }
		}
	}
	readyChan := make(chan struct{})
	markReady := sync.OnceFunc(func() {
		running.httpServer.SetReady()
		close(readyChan)
	})
	go running.endpoints.run(background, initial, markReady)
	return readyChan
}

// awaitEndpoints waits until there is an endpoint list to serve by, or until the endpoint watcher has stopped waiting for
// one. Until then connections queue in the kernel or are accepted by a predecessor. A successor waits until it is ready, but
// not for that longer than successorListTimeout.
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
	failed   chan error // receives the error of http.Server.Serve
}

// serve starts to accept clients. The goroutine that accepts them ends when the listener is closed.
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
