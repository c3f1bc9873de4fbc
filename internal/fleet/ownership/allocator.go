package ownership

import (
	"slices"
	"time"
)

// MaxNodes is how many nodes an allocator serves. From further nodes, an allocator accepts no released shares, and it
// grants them nothing.
const MaxNodes = 4096

// Allocator allocates shares of the budget at the task's owner, for one fencing token. An owner with another token starts
// with a new allocator, which does not need to know the grants of earlier allocators.
//
// An Allocator is not safe for concurrent use.
type Allocator struct {
	config LeaseConfig
	token  uint64
	pool   []capacityLease       // shares that are released and not granted; the ends allow for the slowest clock
	nodes  map[string]*nodeState // by name; MaxNodes at most
}

// nodeState is an allocator's record of a node.
type nodeState struct {
	incarnation string          // incarnation in the latest request
	sequence    uint64          // sequence of the latest request
	demand      float64         // requests per second, by the latest request
	lastRequest time.Duration   // time of the latest request, on the owner's clock
	granted     []capacityLease // grants to the node
}

// NewAllocator creates the allocator for an owner's fencing token.
func NewAllocator(token uint64, config LeaseConfig) *Allocator {
	return &Allocator{config: config, token: token, nodes: map[string]*nodeState{}}
}

// Allocate replies to a node's request. The caller has to check right before that its lease permits the token, and has
// to send the reply at once. A node past MaxNodes is granted nothing, and its request is not recorded.
func (a *Allocator) Allocate(now time.Duration, request LeaseRequest) LeaseReply {
	reply := LeaseReply{Token: a.token, Sequence: request.Sequence, Nonce: Nonce{a.token, now}}
	a.expire(now)
	n := a.nodeOf(request.Node)
	if n == nil {
		return reply
	}
	isNew := n.isNew(request)
	if isNew {
		a.record(now, n, request)
	}
	for _, other := range a.nodes {
		reply.Demand += other.demand
	}
	if isNew && reply.Demand > 0 {
		a.grant(now, n, request, &reply)
	}
	return reply
}

// nodeOf returns the record of a node, and creates the record if there is none; nil if there are MaxNodes already.
func (a *Allocator) nodeOf(name string) *nodeState {
	if n := a.nodes[name]; n != nil {
		return n
	}
	if len(a.nodes) >= MaxNodes {
		return nil
	}
	n := &nodeState{}
	a.nodes[name] = n
	return n
}

// isNew reports whether a request is later than the node's latest recorded request, or from another incarnation.
func (n *nodeState) isNew(request LeaseRequest) bool {
	return n.incarnation != request.Incarnation || request.Sequence > n.sequence
}

// record records a request's demand, and adds the share that the request releases to the pool.
func (a *Allocator) record(now time.Duration, n *nodeState, request LeaseRequest) {
	n.incarnation, n.sequence = request.Incarnation, request.Sequence
	n.demand, n.lastRequest = request.Demand, now
	if request.Released <= 0 || request.Echo.Token != a.token {
		return
	}
	// The node released the share after the moment of the nonce that the request echoes, so the share stays free for at
	// least ReleaseDuration from that moment on.
	if end := request.Echo.At + a.config.onSlowestClock(a.config.ReleaseDuration); now < end {
		a.pool = append(a.pool, capacityLease{request.Released, end})
	}
}

// grant grants a node shares that other nodes have released, until the node's shares match its fraction of the fleet's
// demand.
func (a *Allocator) grant(now time.Duration, n *nodeState, request LeaseRequest, reply *LeaseReply) {
	want := request.Demand/reply.Demand - request.OwnShare
	for _, l := range n.granted {
		want -= l.share
	}
	if want <= request.OwnShare/minLeaseDivisor {
		return
	}
	end := a.takeFromPool(now, want, reply)
	if reply.Granted == 0 {
		return
	}
	// Both the end and this conversion assume that the owner's clock is the slowest allowed. On any allowed clock, the
	// share stays released for at least this much true time.
	reply.Duration = time.Duration(float64(end-now) / (1 - a.config.MaxClockDrift))
	n.granted = append(n.granted, capacityLease{reply.Granted, end})
}

// takeFromPool moves up to want from the pool into the reply, shares with the latest end first, and returns the earliest
// end of the shares that it took.
func (a *Allocator) takeFromPool(now time.Duration, want float64, reply *LeaseReply) (end time.Duration) {
	slices.SortFunc(a.pool, func(x, y capacityLease) int { return int(y.end - x.end) })
	for i := range a.pool {
		available := &a.pool[i]
		if available.end-now < a.config.RenewInterval() || available.share <= 0 {
			continue
		}
		granted := min(available.share, want)
		available.share -= granted
		want -= granted
		reply.Granted += granted
		if end = available.end; want <= 0 {
			break
		}
	}
	return end
}

// expire removes shares and grants that have ended, and nodes without a request for more than two ReleaseDurations.
func (a *Allocator) expire(now time.Duration) {
	a.pool = slices.DeleteFunc(a.pool, func(l capacityLease) bool { return l.end <= now || l.share <= 0 })
	for name, n := range a.nodes {
		n.granted = removeExpired(n.granted, now)
		if now-n.lastRequest > 2*a.config.ReleaseDuration {
			delete(a.nodes, name)
		}
	}
}
