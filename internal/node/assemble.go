package node

import (
	"context"
	"fmt"
	"time"

	"yokestall/internal/downstream/h1server"
	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
)

const (
	maxBodyBytes = 64 << 20
	// streamStallTimeout is how long a streamed response may make no progress, on the upstream or the downstream side.
	streamStallTimeout = 5 * time.Second
	// reuseWaitFactor is the ratio of an exchange's duration to h1client.ReuseDelay from which the node waits to reuse
	// the connection. It is low because the platform charges for new connections.
	reuseWaitFactor = 2
	// drainSendGraceDivisor sets the part of the drain grace that is left for sends decided before the node learns of the
	// drain: the drain grace divided by this number, a fifth. Learning of the drain may take three quarters
	// (discovery.PushedTiming). The remaining twentieth is the margin for processing the update and for the transmission
	// of the request to the endpoint.
	drainSendGraceDivisor = 5
	// bodyMemoryDivisor sets the part of the node's memory limit that request bodies may occupy: the limit divided by this
	// number, a quarter.
	bodyMemoryDivisor = 4
)

// runningNode holds the components of a running node.
type runningNode struct {
	clock      engine.Clock
	endpoints  *endpointWatcher
	pool       *h1client.Pool
	cluster    *engine.Cluster
	httpServer *h1server.Server
	admin      *adminHandler
	restart    *restartCoordinator // nil if the node always has a single process
}

// assemble creates the node's components and connects them. The cluster and the lame duck mode run until background is
// done. It returns an error if the limits leave too few descriptors, or if the policy's settings are invalid.
func (n *Node) assemble(background context.Context) (*runningNode, error) {
	upstream, clients, err := n.cfg.splitDescriptors(n.cfg.Limits.Sockets)
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	running := &runningNode{clock: engine.NewClock()}
	running.endpoints = newEndpointWatcher(n.cfg, running.clock, n.newDiscoveryAddr, n.log)
	running.pool = h1client.New(h1client.Options{
		EndpointIdleTimeout: n.cfg.ConnIdle,
		ConnectTimeout:      n.cfg.ConnectTimeout,
		MaxConnections:      upstream,
		StreamLargeBodies:   true,
		ExclusiveAddresses:  true,
		ReuseWaitFactor:     reuseWaitFactor,
		NodeCount:           n.cfg.Policy.NodeCount,
		Prices:              n.cfg.IdlePrices,
	})
	running.cluster, err = engine.New(background, n.cfg.Policy, running.pool, engine.Options{
		Seed:           n.cfg.Seed,
		Clock:          running.clock,
		RequestPoll:    running.endpoints.requestPoll,
		DrainSendGrace: max(1, n.cfg.DrainGrace/drainSendGraceDivisor),
	})
	if err != nil {
		return nil, err
	}
	running.endpoints.sink = clusterSink{running.cluster, running.pool}
	running.httpServer = h1server.New(router{n.cfg, running.cluster}, h1server.Options{
		Clock:            running.clock,
		ConnectionLimits: clients,
		Strict:           true,
		Log:              n.log,
		StallTimeout:     streamStallTimeout,
		MaxBodyBytes:     maxBodyBytes,
		BodyMemory:       int64(n.cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor,
	})
	running.endpoints.requestCount = running.httpServer.RequestCount
	running.admin = &adminHandler{
		background: background, endpoints: running.endpoints, httpServer: running.httpServer, log: n.log,
	}
	if n.cfg.InheritedSocket != "" {
		running.restart = joinNode(n.cfg, n.log, running)
		running.admin.restart = running.restart
	}
	return running, nil
}

// clusterSink passes the endpoint list to both the cluster and the connection pool.
type clusterSink struct {
	*engine.Cluster
	pool *h1client.Pool
}

// UpdateAddresses implements endpointSink.
func (s clusterSink) UpdateAddresses(full bool, list []h1client.Endpoint) {
	s.pool.UpdateEndpoints(full, list)
}

var _ endpointSink = clusterSink{}
