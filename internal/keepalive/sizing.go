// Package keepalive sizes a node's pool of idle connections to endpoints: how many idle connections the node keeps to one
// endpoint, and for how long. It is pure. An endpoint accepts a limited number of connections from all nodes together, so
// each node keeps only its share of them. A site may set prices for open connections and for new connections; a node
// keeps an idle connection as long as that is cheaper than opening a new one.
package keepalive

import "time"

const (
	// MaxIdlePerEndpoint is the assumed number of idle connections that an endpoint accepts from all nodes together.
	// It is an assumption because endpoints don't publish their limit.
	MaxIdlePerEndpoint = 128
	// MaxIdlePerNode is the maximum number of idle connections from one node to one endpoint.
	MaxIdlePerNode = 32
	// minIdleTimeout is the minimum of IdleTimeout for any prices, so that consecutive requests can reuse a connection.
	// Only a shorter limit goes below it.
	minIdleTimeout = time.Second
)

// FleetLoad is the size and the load of the load balancer's nodes, as far as this node can observe them.
type FleetLoad struct {
	Nodes             int     // number of nodes
	Endpoints         int     // number of endpoints on the endpoint list
	UsedEndpoints     int     // number of listed endpoints that this node has used recently
	RequestsPerSecond float64 // rate of all nodes together
}

// nodesPerEndpoint returns how many nodes use an endpoint on average, since a node may use only some of the endpoints.
func (f FleetLoad) nodesPerEndpoint() float64 {
	return float64(max(1, f.Nodes)) * float64(max(1, f.UsedEndpoints)) / float64(max(1, f.Endpoints, f.UsedEndpoints))
}

// Prices are the connection prices that a site sets, as shares of the total weight of all requests. A price of 0 or less
// for open connections means that they cost nothing.
type Prices struct {
	// Handshake is the price if each request opens a new connection.
	Handshake float64
	// Connection is the price if an average of 100 connections to each endpoint are open.
	Connection float64
}

// MaxIdle returns this node's share of the idle connections to one endpoint, from 1 to MaxIdlePerNode.
func MaxIdle(f FleetLoad) int {
	part := MaxIdlePerEndpoint / max(1, f.nodesPerEndpoint())
	return min(MaxIdlePerNode, max(1, int(part)))
}

// IdleTimeout returns how long a connection may be idle, from one second to limit, or limit if that is shorter. Keeping a
// connection idle for a time t costs the price of an open connection for t, and replacing it costs the price of a
// handshake. The timeout is the t at which the two costs are equal, because opening a new connection is cheaper beyond
// it.
func IdleTimeout(f FleetLoad, p Prices, limit time.Duration) time.Duration {
	if p.Connection <= 0 || f.RequestsPerSecond <= 0 {
		return limit
	}
	breakEven := 100 * p.Handshake * float64(max(1, f.Endpoints)) / (p.Connection * f.RequestsPerSecond) // seconds
	if breakEven >= limit.Seconds() {
		return limit
	}
	return min(limit, max(minIdleTimeout, time.Duration(breakEven*float64(time.Second))))
}
