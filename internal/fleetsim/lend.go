package fleetsim

import (
	"fmt"
	"time"

	"yokestall/internal/fleet/ownership"
	"yokestall/policy"
)

// lending is a node's side of the lending of cold servers' budgets.
type lending struct {
	share          *ownership.Holder
	requests       int64 // of clients, since the node's start
	requestsBefore int64 // at the last request to the owner
	demand         float64
	updates        uint64 // of the node's share
}

const (
	updatesPerRequest = 4   // updates of a node's share for each request to the owner, since loans end in between
	demandSmoothing   = 0.5 // weight of the earlier demand in the moving average
)

// shareSetter is a Decider that can be told its share of cold servers' budgets.
type shareSetter interface{ SetSlowStartShare(part float64) }

var _ shareSetter = (*policy.Balancer)(nil)

func (s *sim) lendingConfig() ownership.LeaseConfig {
	return ownership.LeaseConfig{ReleaseDuration: s.day.LeaseReleaseDuration, MaxClockDrift: 0.01}
}

// startLending starts a node's lending after each of its starts.
func (n *node) startLending() {
	if n.day.LeaseReleaseDuration > 0 {
		n.lending = lending{share: ownership.NewHolder(n.now, n.lendingConfig())}
		n.post(event{at: n.now, kind: evUpdateShare, node: n, token: n.starts})
	}
}

// stepLending handles the events of lending.
func (s *sim) stepLending(e *event) {
	n := e.node
	switch {
	case e.kind == evShareRequest:
		s.post(event{at: s.now + s.delay(), kind: evShareReply, node: n, token: e.token, reply: s.allocator.Allocate(s.now, e.request)})
	case n.down || n.starts != e.token: // for an earlier start
	case e.kind == evShareReply:
		n.share.HandleReply(s.now, e.reply)
	default:
		n.updateShare()
	}
}

// updateShare tells a node's decider its share, and asks the owner for another one at each updatesPerRequest-th time.
func (n *node) updateShare() {
	interval := n.lendingConfig().RenewInterval()
	step := interval / updatesPerRequest
	own := 1 / float64(n.day.Nodes)
	if n.updates++; n.updates%updatesPerRequest == 0 {
		n.demand = demandSmoothing*n.demand + (1-demandSmoothing)*float64(n.requests-n.requestsBefore)/interval.Seconds()
		n.requestsBefore = n.requests
		request := n.share.NextRequest(n.now, own, n.demand)
		request.Node, request.Incarnation = fmt.Sprint(n.set.NodeIndex), fmt.Sprint(n.starts)
		n.post(event{at: n.now + n.delay(), kind: evShareRequest, node: n, token: n.starts, request: request})
	}
	if d, ok := n.decider.(shareSetter); ok {
		d.SetSlowStartShare(n.share.Usable(n.now, n.now+2*step, own) * float64(n.day.Nodes))
	}
	if n.now < n.day.Length+time.Minute {
		n.post(event{at: n.now + step, kind: evUpdateShare, node: n, token: n.starts})
	}
}
