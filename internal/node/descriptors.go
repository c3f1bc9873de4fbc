package node

import (
	"errors"

	"yokestall/internal/adminapi"
	"yokestall/internal/connlimit"
)

const (
	// ownDescriptors is the number of descriptors reserved for the standard streams, the Go runtime, the listener and
	// the connections to the discovery service.
	ownDescriptors = 30
	// minConnections is the smallest number of connections, to endpoints and from clients together, with which a
	// process can serve.
	minConnections = 16
	// upstreamShare is the share of all connections that go to endpoints. Clients have the larger share, since client
	// connections may be idle or have sent no request yet.
	upstreamShare = 0.45
)

// errTooFewDescriptors is returned if a descriptor limit leaves fewer than minConnections connections.
var errTooFewDescriptors = errors.New("too few descriptors for the connections to endpoints and from clients")

// splitDescriptors divides a number of descriptors into a limit of connections to endpoints and the limits of connections
// from clients. It subtracts the descriptors that the process itself and the admin API need.
func (c *Config) splitDescriptors(total int) (upstream int, clients connlimit.Limits, err error) {
	connections := total - ownDescriptors
	if c.AdminAddr != "" {
		connections -= adminapi.MaxDescriptors
	}
	if connections < minConnections {
		return 0, connlimit.Limits{}, errTooFewDescriptors
	}
	upstream = int(upstreamShare * float64(connections))
	clients, err = connlimit.Split(connections-upstream, int(c.ClientShare*float64(total)))
	return upstream, clients, err
}
