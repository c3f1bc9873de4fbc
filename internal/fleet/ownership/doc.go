// Package ownership moves shares of the fleet's budget for endpoints that warm up, by capacity leases, from nodes without
// demand to nodes with demand. The allocation is one of the fleet's singleton tasks: the task's owner, one node at a
// time, allocates. The package does no I/O and reads no clock: times are passed in, on each node's own clock.
//
// An endpoint that warms up receives the sum of what all nodes send it, so each node may send only its share of the
// budget. With equal shares, a node of a fleet of a hundred may send less than one request, even if that node has all the
// traffic. So a node releases for a time the part of its own share that it does not need, and the owner grants the
// released part to other nodes.
//
// A share moves in these steps:
//
//	Holder.NextRequest   releases a part of the node's own share, and deducts it before the request is sent
//	Allocator.Allocate   adds the released part to the pool, and grants shares from the pool by demand
//	Holder.HandleReply   records the grant, whose duration counts from when it was requested
//	Holder.Usable        adds up what the node may use, at each moment of use
//
// The sum of all shares in use never exceeds the budget, whichever nodes own the task or believe that they do, because a
// grant ends before the released part that it was taken from returns to its node, on any clocks within the allowed drift.
// The design is that of a quota server with leases, as in Doorman. The bounds for clocks are those of C. Gray and
// D. Cheriton, "Leases" (SOSP 1989).
package ownership
