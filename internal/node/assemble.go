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
	// streamStallTimeout is how long a streamed response may make no progress, at either side.
	streamStallTimeout = 5 * time.Second
	// unsolicitedResponsePeriod is how long after a response another one may arrive that belongs to no
	// request: some milliseconds, by the platform's protocol. Nothing in it names its request.
	unsolicitedResponsePeriod = 20 * time.Millisecond
	// drainSendGraceDivisor gives the part of the drain grace that is left for sends decided before the
	// notice of the drain: a fifth. Three quarters are the notice's (discovery.PushedTiming). The remaining
	// twentieth is the margin for the processing of the notice and for the send's way to the endpoint.
	drainSendGraceDivisor = 5
	// bodyMemoryDivisor gives the part of the memory that request bodies may occupy.
	bodyMemoryDivisor = 4
)

// runningNode are the parts of a running node.
type runningNode struct {
	clock      engine.Clock
	endpoints  *endpointWatcher
	pool       *h1client.Pool
	cluster    *engine.Cluster
	httpServer *h1server.Server
	admin      *adminHandler
	restart    *restartCoordinator // nil: there can't be another process of the node
}

// assemble makes the parts of the node and connects them. The cluster and the lame duck mode run until
// background ends. The error is that of the limits or of the policy's settings.
func (n *Node) assemble(background context.Context) (*runningNode, error) {
	upstream, clients, err := n.cfg.splitDescriptors(n.cfg.Limits.Sockets)
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	running := &runningNode{clock: engine.NewClock()}
	running.endpoints = newEndpointWatcher(n.cfg, running.clock, n.discoveryMoved, n.log)
	running.pool = h1client.New(h1client.Options{
		EndpointIdleTimeout: n.cfg.ConnIdle,
		ConnectTimeout:      n.cfg.ConnectTimeout,
		MaxConnections:      upstream,
		StreamLargeBodies:   true,
		ReuseDelay:          unsolicitedResponsePeriod,
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

// clusterSink has both the cluster and the connection pool follow the endpoint list.
type clusterSink struct {
	*engine.Cluster
	pool *h1client.Pool
}

// UpdateAddresses implements endpointSink.
func (s clusterSink) UpdateAddresses(full bool, list []h1client.Endpoint) {
	s.pool.UpdateEndpoints(full, list)
}

var _ endpointSink = clusterSink{}
