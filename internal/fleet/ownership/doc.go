// Package ownership leases the fleet's budget for servers that warm up from nodes without demand to nodes with demand.
// It is one of the fleet's singleton tasks: one node at a time, the task's owner, allocates. The package does no I/O
// and reads no clock: times are passed in, on each node's own clock.
//
// An endpoint that warms up receives the sum of what all nodes send it, so each node may send only its share of the
// budget. With equal shares a node of a fleet of a hundred may send less than one request, also where it has all the
// traffic. So a node releases for a time what it does not need of its own share, and the owner grants that to others.
//
// The way of a share:
//
//	Holder.NextRequest   releases a part of the node's own share: it is deducted before the request is sent
//	Allocator.Allocate   adds the released part to the pool, and grants from the pool by demand
//	Holder.HandleReply   records the grant, which counts from when it was requested
//	Holder.Usable        adds up what the node may use, at each moment that it uses it
//
// The sum of all shares in use never exceeds the budget, whichever node owns the task or believes so, because a grant
// ends before the released part that it was taken from returns to its node, on any clocks within the allowed drift.
// The design is that of a quota server with leases, as in Doorman; the clocks' bounds are those of Gray and Cheriton,
// "Leases" (SOSP 1989).
package ownership
