// Package keepalive says how many connections to servers a node keeps that carry nothing, and for how
// long. It is pure. A server holds only so many connections from all nodes together, and a site may
// price those that stand open and those that are opened: what one node keeps for itself has to be
// its share, and worth its price.
package keepalive

import "time"

const (
	// Room is how many idle connections from all nodes together a server is taken to have room for.
	// Servers don't tell; 64 a core were the least that were seen, and two cores are few.
	Room = 128
	// Most is kept to one server by one node, however few they are.
	Most = 32
	// leastSpan is kept whatever the prices are: what opens a connection for each of two requests in
	// a row delays both.
	leastSpan = time.Second
)

// Fleet is what a node knows of the situation.
type Fleet struct {
	Nodes   int // of the tier
	Servers int // on the list
	Used    int // of those, by this node lately
	// PerSecond is the requests of all nodes a second.
	PerSecond float64
}

// Prices are the site's, in worth of the whole service: for a new connection a request, and for a
// hundred connections that stand open to each server on average.
type Prices struct {
	Handshake, Connection float64
}

// Keep is how many idle connections to one server are this node's share. Nodes that each use a part
// of the servers share one with fewer than all.
func Keep(f Fleet) int {
	sharers := float64(max(1, f.Nodes)) * float64(max(1, f.Used)) / float64(max(1, f.Servers, f.Used))
	return min(Most, max(1, int(Room/max(1, sharers))))
}

// Span is how long a connection may be idle, most at the longest. Held for t, one costs its price
// times t over a hundred of all servers' days; opened anew it costs a handshake of all requests':
// past the t at which these are equal it is cheaper to open another.
func Span(f Fleet, p Prices, most time.Duration) time.Duration {
	if p.Connection <= 0 || f.PerSecond <= 0 {
		return most
	}
	even := 100 * p.Handshake * float64(max(1, f.Servers)) / (p.Connection * f.PerSecond) // seconds
	if even >= most.Seconds() {
		return most
	}
	return min(most, max(leastSpan, time.Duration(even*float64(time.Second))))
}
