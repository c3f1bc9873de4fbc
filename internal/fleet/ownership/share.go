// Package ownership distributes the fleet's budget for cold servers among its nodes, by demand. It is one of the
// fleet's singleton tasks: one node at a time, the task's owner, allocates. The package does no I/O and reads no
// clock: times are passed in, on each node's own clock.
//
// A cold server sees the sum of what all nodes send it, so each node may send only its share of the whole budget.
// Equal shares amount to less than one request each at a hundred nodes, also where one node has all the traffic. So
// nodes lend what they don't need: a node pledges a part of its own share to the owner, which grants pledges to nodes
// with demand. The sum of all shares in use never exceeds the whole, whichever node owns the task or believes so: a
// grant ends before the pledge that it comes from, and a pledge is deducted from its node's own share before it is
// sent.
package ownership

import (
	"slices"
	"time"
)

const (
	requestsPerPledge      = 4   // requests of a node in the time for which it pledges
	maxOutstandingRequests = 16  // replies to older ones are ignored
	minKeptShare           = 0.1 // part of its own share that a node never lends, for the first requests that come
	worthwhileFraction     = 100 // a loan of less than a hundredth of the node's own share is not worth it
	maxLoans               = 64  // of a kind, at a node
)

// MaxNodes is how many nodes an allocator knows. It takes nothing from further ones and grants them nothing.
const MaxNodes = 4096

// LendingConfig is the timing of lending. All nodes of a fleet must use the same values.
type LendingConfig struct {
	PledgeDuration time.Duration // for which a node does without what it lends, in true time
	MaxClockDrift  float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
}

// onSlowestClock is what the slowest allowed clock shows after a true time. Whatever the clock, it has not passed the
// time's end then.
func (c LendingConfig) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift))
}

// onFastestClock is what the fastest allowed clock shows after a true time.
func (c LendingConfig) onFastestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxClockDrift)) + 1
}

// RenewInterval is the time between two requests of a node.
func (c LendingConfig) RenewInterval() time.Duration { return c.PledgeDuration / requestsPerPledge }

// Nonce marks a moment on an owner's clock. A message that echoes it was sent later than that.
type Nonce struct {
	Token uint64        `json:"token"`
	At    time.Duration `json:"at"` // on the owner's clock
}

// ShareRequest is what a node sends to the owner: its demand, and what it lends.
type ShareRequest struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"life"`
	Sequence    uint64  `json:"seq"`
	Demand      float64 `json:"demand"` // requests a second
	OwnShare    float64 `json:"home"`   // without lending
	Pledge      float64 `json:"pledge"` // part of OwnShare that the node does without from now on
	Echo        Nonce   `json:"echo"`   // of the latest reply
}

// ShareReply is the owner's reply.
type ShareReply struct {
	Token    uint64        `json:"token"` // fencing token of the owner
	Sequence uint64        `json:"seq"`   // of the request
	Nonce    Nonce         `json:"nonce"`
	Demand   float64       `json:"demand"` // of all nodes
	Granted  float64       `json:"slice"`  // share of the whole, in addition to the node's own
	Duration time.Duration `json:"for"`    // of the grant, from the request on, in true time
}

// loan is a share of the whole that is lent until a time.
type loan struct {
	share float64
	until time.Duration
}

// removeEnded removes the loans that have ended.
func removeEnded(loans []loan, now time.Duration) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return l.until <= now })
}

// Share is a node's side: its share of the whole. It is not safe for concurrent use.
type Share struct {
	config       LendingConfig
	highestToken uint64
	lent         []loan
	borrowed     []loan
	requestedAt  map[uint64]time.Duration // by sequence
	sequence     uint64
	echo         Nonce
	fleetDemand  float64 // by the latest reply
}

// NewShare creates a node's share after a start. An earlier run of the node may have lent all of its own share.
func NewShare(now time.Duration, config LendingConfig) *Share {
	earlier := loan{1, now + config.onFastestClock(config.PledgeDuration)}
	return &Share{config: config, requestedAt: map[uint64]time.Duration{}, lent: []loan{earlier}}
}

// Usable returns the share of the whole that the node may use from now until a time, at which it has to ask again.
// own is its share without lending. That may change at all nodes together, as versions do: a node never lends more
// than its share was, and one that comes with more nodes starts with nothing until the earlier loans have ended.
func (s *Share) Usable(now, until time.Duration, own float64) float64 {
	left := own
	for _, l := range s.lent {
		if now < l.until {
			left -= l.share
		}
	}
	usable := max(0, left)
	for _, l := range s.borrowed {
		if until < l.until {
			usable += l.share
		}
	}
	return usable
}

// NextRequest creates the next request to the owner. What it pledges is lent from now on, whether the request arrives
// or not.
func (s *Share) NextRequest(now time.Duration, own, demand float64) ShareRequest {
	s.lent, s.borrowed = removeEnded(s.lent, now), removeEnded(s.borrowed, now)
	s.sequence++
	s.requestedAt[s.sequence] = now
	delete(s.requestedAt, s.sequence-maxOutstandingRequests)
	request := ShareRequest{Sequence: s.sequence, Demand: demand, OwnShare: own, Echo: s.echo}
	if s.echo.Token == 0 || s.fleetDemand <= 0 || len(s.lent) >= maxLoans {
		return request
	}
	if spare := s.spare(own, demand); spare > own/worthwhileFraction {
		request.Pledge = spare
		s.lent = append(s.lent, loan{spare, now + s.config.onFastestClock(s.config.PledgeDuration)})
	}
	return request
}

// spare is what the node doesn't need of its own share.
func (s *Share) spare(own, demand float64) float64 {
	free := own
	for _, l := range s.lent {
		free -= l.share
	}
	return free - max(own*minKeptShare, demand/s.fleetDemand)
}

// HandleReply records an owner's reply. It returns false, and ignores the reply, if the owner's token is no longer
// the highest or the reply belongs to no outstanding request.
func (s *Share) HandleReply(now time.Duration, reply ShareReply) bool {
	if reply.Token < s.highestToken {
		return false
	}
	requested, outstanding := s.requestedAt[reply.Sequence]
	if !outstanding {
		return false
	}
	delete(s.requestedAt, reply.Sequence) // a reply that comes twice counts once
	s.highestToken = reply.Token
	s.echo, s.fleetDemand = reply.Nonce, reply.Demand
	end := requested + s.config.onSlowestClock(reply.Duration)
	if reply.Granted > 0 && now < end && len(s.borrowed) < maxLoans {
		s.borrowed = append(s.borrowed, loan{reply.Granted, end})
	}
	return true
}

// HighestToken returns the highest fencing token of an owner's replies.
func (s *Share) HighestToken() uint64 { return s.highestToken }

// Allocator is the owner's side for one fencing token. An owner with another token starts with a new allocator, which
// needs to know nothing of what earlier ones granted.
type Allocator struct {
	config  LendingConfig
	token   uint64
	pledges []loan
	nodes   map[string]*nodeState
}

// nodeState is what an allocator knows of a node.
type nodeState struct {
	incarnation string
	sequence    uint64
	demand      float64
	lastRequest time.Duration
	borrowed    []loan
}

// NewAllocator creates the allocator of an owner's token.
func NewAllocator(token uint64, config LendingConfig) *Allocator {
	return &Allocator{config: config, token: token, nodes: map[string]*nodeState{}}
}

// Allocate replies to a node's request. The caller has to check its lease for the token right before, and to send the
// reply at once.
func (a *Allocator) Allocate(now time.Duration, request ShareRequest) ShareReply {
	reply := ShareReply{Token: a.token, Sequence: request.Sequence, Nonce: Nonce{a.token, now}}
	a.removeExpired(now)
	n := a.nodes[request.Node]
	if n == nil {
		if len(a.nodes) >= MaxNodes {
			return reply
		}
		n = &nodeState{}
		a.nodes[request.Node] = n
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

// isNew reports whether a request is later than those that have been recorded.
func (n *nodeState) isNew(request ShareRequest) bool {
	return n.incarnation != request.Incarnation || request.Sequence > n.sequence
}

// record records a request's demand and pledge.
func (a *Allocator) record(now time.Duration, n *nodeState, request ShareRequest) {
	n.incarnation, n.sequence, n.demand, n.lastRequest = request.Incarnation, request.Sequence, request.Demand, now
	if request.Pledge <= 0 || request.Echo.Token != a.token {
		return
	}
	// The node pledged after the moment that it echoes, so the pledge lasts at least its duration from that moment on.
	if end := request.Echo.At + a.config.onSlowestClock(a.config.PledgeDuration); now < end {
		a.pledges = append(a.pledges, loan{request.Pledge, end})
	}
}

// grant grants a node what others have pledged, up to its share of the demand.
func (a *Allocator) grant(now time.Duration, n *nodeState, request ShareRequest, reply *ShareReply) {
	want := request.Demand/reply.Demand - request.OwnShare
	for _, l := range n.borrowed {
		want -= l.share
	}
	if want <= request.OwnShare/worthwhileFraction {
		return
	}
	slices.SortFunc(a.pledges, func(x, y loan) int { return int(y.until - x.until) })
	end := time.Duration(0)
	for i := range a.pledges {
		pledge := &a.pledges[i]
		if pledge.until-now < a.config.RenewInterval() || pledge.share <= 0 {
			continue
		}
		granted := min(pledge.share, want)
		pledge.share -= granted
		want -= granted
		reply.Granted += granted
		if end = pledge.until; want <= 0 {
			break
		}
	}
	if reply.Granted == 0 {
		return
	}
	// A pledge's end is counted as early as the slowest clock shows it. At least this much true time is left on that
	// clock.
	reply.Duration = time.Duration(float64(end-now) / (1 - a.config.MaxClockDrift))
	n.borrowed = append(n.borrowed, loan{reply.Granted, end})
}

// removeExpired removes loans that have ended, and nodes that have sent nothing for long.
func (a *Allocator) removeExpired(now time.Duration) {
	a.pledges = slices.DeleteFunc(a.pledges, func(l loan) bool { return l.until <= now || l.share <= 0 })
	for name, n := range a.nodes {
		n.borrowed = removeEnded(n.borrowed, now)
		if now-n.lastRequest > 2*a.config.PledgeDuration {
			delete(a.nodes, name)
		}
	}
}
