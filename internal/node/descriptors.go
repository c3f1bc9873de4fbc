package node

import (
	"errors"

	"yokestall/internal/adminapi"
	"yokestall/internal/connlimit"
)

const (
	// ownDescriptors are the standard streams, the runtime's, the listener and discovery's connections.
	ownDescriptors = 30
	// minConnections is the least that a process can serve with, clients and endpoints together.
	minConnections = 16
	// upstreamShare is the part of the connections that go to endpoints. Clients have more, since
	// theirs may be idle or without a request.
	upstreamShare = 0.45
)

// errTooFewDescriptors is returned for a limit that leaves fewer than minConnections.
var errTooFewDescriptors = errors.New("limits: too few descriptors")

// splitDescriptors splits a number of descriptors into connections to endpoints and from clients.
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
