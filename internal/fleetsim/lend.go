package fleetsim

import (
	"fmt"
	"time"

	"yokestall/internal/fleet/ownership"
	"yokestall/policy"
)

// leaseClient is a node's side of the leaseClient of cold servers' budgets.
type leaseClient struct {
	holder            *ownership.Holder
	requestCount      int64 // of clients, since the node's start
	requestsAtRenewal int64 // at the last request to the owner
	demand            float64
	updates           uint64 // of the node's share
}

const (
	updatesPerRequest = 4   // updates of a node's share for each request to the owner, since loans end in between
	demandSmoothing   = 0.5 // weight of the earlier demand in the moving average
)

// slowStartShareSetter is a Decider that can be told its share of cold servers' budgets.
type slowStartShareSetter interface{ SetSlowStartShare(part float64) }

var _ slowStartShareSetter = (*policy.Balancer)(nil)

func (s *simulation) leaseConfig() ownership.LeaseConfig {
	return ownership.LeaseConfig{ReleaseDuration: s.scenario.LeaseReleaseDuration, MaxClockDrift: 0.01}
}

// startLeases starts a node's lending after each of its starts.
func (n *node) startLeases() {
	if n.scenario.LeaseReleaseDuration > 0 {
		n.leaseClient = leaseClient{holder: ownership.NewHolder(n.now, n.leaseConfig())}
		n.post(event{at: n.now, kind: evUpdateShare, node: n, token: n.incarnation})
	}
}

// stepLending handles the events of lending.
func (s *simulation) stepLending(e *event) {
	n := e.node
	switch {
	case e.kind == evShareRequest:
		s.post(event{at: s.now + s.delay(), kind: evShareReply, node: n, token: e.token, reply: s.allocator.Allocate(s.now, e.request)})
	case n.down || n.incarnation != e.token: // for an earlier start
	case e.kind == evShareReply:
		n.holder.HandleReply(s.now, e.reply)
	default:
		n.updateShare()
	}
}

// updateShare tells a node's decider its share, and asks the owner for another one at each updatesPerRequest-th time.
func (n *node) updateShare() {
	interval := n.leaseConfig().RenewInterval()
	step := interval / updatesPerRequest
	own := 1 / float64(n.scenario.Nodes)
	if n.updates++; n.updates%updatesPerRequest == 0 {
		n.demand = demandSmoothing*n.demand + (1-demandSmoothing)*float64(n.requestCount-n.requestsAtRenewal)/interval.Seconds()
		n.requestsAtRenewal = n.requestCount
		request := n.holder.NextRequest(n.now, own, n.demand)
		request.Node, request.Incarnation = fmt.Sprint(n.settings.NodeIndex), fmt.Sprint(n.incarnation)
		n.post(event{at: n.now + n.delay(), kind: evShareRequest, node: n, token: n.incarnation, request: request})
	}
	if d, ok := n.decider.(slowStartShareSetter); ok {
		d.SetSlowStartShare(n.holder.Usable(n.now, n.now+2*step, own) * float64(n.scenario.Nodes))
	}
	if n.now < n.scenario.Length+time.Minute {
		n.post(event{at: n.now + step, kind: evUpdateShare, node: n, token: n.incarnation})
	}
}
