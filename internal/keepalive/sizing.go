// Package keepalive sizes a node's pool of idle connections to endpoints: how many there are to one endpoint, and
// for how long. It is pure. An endpoint holds only so many connections from all nodes together, and a site may
// price both the connections that stand open and those that are opened: a node keeps its part of the first, while
// that is cheaper than the second.
package keepalive

import "time"

const (
	// MaxIdlePerEndpoint is how many idle connections from all nodes together an endpoint is taken to accept.
	// Endpoints don't publish their limit.
	MaxIdlePerEndpoint = 128
	// MaxIdlePerNode is the most idle connections from one node to one endpoint.
	MaxIdlePerNode = 32
	// minIdleTimeout holds whatever the prices are: two requests in a row can use one connection.
	minIdleTimeout = time.Second
)

// Fleet is the size and the load of the tier, as far as this node can observe it.
type Fleet struct {
	Nodes             int     // of the tier
	Endpoints         int     // on the list
	UsedEndpoints     int     // of those, the ones that this node used lately
	RequestsPerSecond float64 // of all nodes
}

// nodesPerEndpoint is how many nodes use an endpoint on average: a node may use a part of the endpoints only.
func (f Fleet) nodesPerEndpoint() float64 {
	return float64(max(1, f.Nodes)) * float64(max(1, f.UsedEndpoints)) / float64(max(1, f.Endpoints, f.UsedEndpoints))
}

// Prices are the site's, as parts of the value of all service.
type Prices struct {
	// Handshake is the price of one new connection for each request.
	Handshake float64
	// Connection is the price of a hundred connections that stand open to each endpoint on average.
	Connection float64
}

// MaxIdle gives this node's part of the idle connections to one endpoint; from 1 to MaxIdlePerNode.
func MaxIdle(f Fleet) int {
	part := MaxIdlePerEndpoint / max(1, f.nodesPerEndpoint())
	return min(MaxIdlePerNode, max(1, int(part)))
}

// IdleTimeout gives how long a connection may be idle; from a second to limit, or limit if that is shorter. A
// connection that is idle for t costs the price of t connection-seconds, and its replacement costs a handshake:
// the timeout is the t at which the two are equal, since beyond it opening another is cheaper.
func IdleTimeout(f Fleet, p Prices, limit time.Duration) time.Duration {
	if p.Connection <= 0 || f.RequestsPerSecond <= 0 {
		return limit
	}
	breakEven := 100 * p.Handshake * float64(max(1, f.Endpoints)) / (p.Connection * f.RequestsPerSecond) // seconds
	if breakEven >= limit.Seconds() {
		return limit
	}
	return min(limit, max(minIdleTimeout, time.Duration(breakEven*float64(time.Second))))
}
