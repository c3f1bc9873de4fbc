package fleetsim

import (
	"fmt"

	"yokestall/internal/fleet/ownership"
)

const (
	updatesPerRenewal = 4   // updates of the share of a node for each lease request, because leases end in between
	demandSmoothing   = 0.5 // weight of the previous demand in the moving average
)

// leaseClient is the state of a node as a holder of slow start budget leases.
type leaseClient struct {
	holder            *ownership.Holder
	requestCount      int64   // requests from clients since the start of the node
	requestsAtRenewal int64   // requestCount at the last lease request
	demand            float64 // requests per second
	updates           uint64  // number of updates of the share of the node
}

func (s *simulation) leaseConfig() ownership.LeaseConfig {
	return ownership.LeaseConfig{ReleaseDuration: s.scenario.LeaseReleaseDuration, MaxClockDrift: 0.01}
}

// startLeases starts the updates of the share and the lease requests of a node, if the scenario has leases.
func (n *node) startLeases() {
	if n.scenario.LeaseReleaseDuration > 0 {
		n.lease = leaseClient{holder: ownership.NewHolder(n.now, n.leaseConfig())}
		n.scheduleHere(n.now, n.updateShare)
	}
}

// updateShare sets the slow start share of the decider and sends a lease request with every updatesPerRenewal-th update.
func (n *node) updateShare() {
	step := n.leaseConfig().RenewInterval() / updatesPerRenewal
	ownShare := 1 / float64(n.scenario.Nodes)
	if n.lease.updates++; n.lease.updates%updatesPerRenewal == 0 {
		n.renewLease(ownShare)
	}
	if d, ok := n.decider.(slowStartShareSetter); ok {
		usable := n.lease.holder.Usable(n.now, n.now+2*step, ownShare)
		d.SetSlowStartShare(usable * float64(n.scenario.Nodes))
	}
	if n.now < n.scenario.Length+drainPeriod {
		n.scheduleHere(n.now+step, n.updateShare)
	}
}

// renewLease sends the allocator a lease request based on the current demand.
func (n *node) renewLease(ownShare float64) {
	l := &n.lease
	interval := n.leaseConfig().RenewInterval()
	rate := float64(l.requestCount-l.requestsAtRenewal) / interval.Seconds()
	l.demand = demandSmoothing*l.demand + (1-demandSmoothing)*rate
	l.requestsAtRenewal = l.requestCount
	request := l.holder.NextRequest(n.now, ownShare, l.demand)
	request.Node, request.Incarnation = fmt.Sprint(n.settings.NodeIndex), fmt.Sprint(n.incarnation)
	incarnation := n.incarnation
	n.schedule(n.now+n.networkDelay(), func() {
		replyAt, reply := n.now+n.networkDelay(), n.leases.Allocate(n.now, request)
		n.schedule(replyAt, func() {
			if n.incarnation == incarnation && !n.down {
				n.lease.holder.HandleReply(n.now, reply)
			}
		})
	})
}
