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
	// drainSendGraceDivisor gives the part of the drain grace that is left for sends decided before: for
	// the rest, the drain was on its way here (discovery.PushedTiming).
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

// assemble makes the components and connects them. The cluster and the lame duck mode run until
// background ends. The error is that of the limits or of the policy's settings.
func (n *Node) assemble(background context.Context) (*runningNode, error) {
	upstream, clients, err := n.cfg.splitDescriptors(n.cfg.Limits.Sockets)
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	c := &runningNode{clock: engine.NewClock()}
	c.endpoints = newEndpointWatcher(n.cfg, c.clock, n.discoveryMoved, n.log)
	c.pool = h1client.New(h1client.Options{
		EndpointIdleTimeout: n.cfg.ConnIdle,
		ConnectTimeout:      n.cfg.ConnectTimeout,
		MaxConnections:      upstream,
		StreamLargeBodies:   true,
		ReuseDelay:          unsolicitedResponsePeriod,
		NodeCount:           n.cfg.Policy.NodeCount,
		Prices:              n.cfg.IdlePrices,
	})
	c.cluster, err = engine.New(background, n.cfg.Policy, c.pool, engine.Options{
		Seed:           n.cfg.Seed,
		Clock:          c.clock,
		RequestPoll:    c.endpoints.requestPoll,
		DrainSendGrace: max(1, n.cfg.DrainGrace/drainSendGraceDivisor),
	})
	if err != nil {
		return nil, err
	}
	c.endpoints.sink = clusterSink{c.cluster, c.pool}
	c.httpServer = h1server.New(router{n.cfg, c.cluster}, h1server.Options{
		Clock:            c.clock,
		ConnectionLimits: clients,
		Strict:           true,
		Log:              n.log,
		StallTimeout:     streamStallTimeout,
		MaxBodyBytes:     maxBodyBytes,
		BodyMemory:       int64(n.cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor,
	})
	c.endpoints.requestCount = c.httpServer.RequestCount
	c.admin = &adminHandler{background: background, endpoints: c.endpoints, httpServer: c.httpServer, log: n.log}
	if n.cfg.InheritedSocket != "" {
		c.restart = joinNode(n.cfg, n.log, c)
		c.admin.restart = c.restart
	}
	return c, nil
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
