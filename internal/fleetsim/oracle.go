package fleetsim

import (
	"math/rand/v2"
	"time"

	"yokestall/policy"
)

// serverObserver is a host that shows its nodes what nobody can see: the servers as they are.
type serverObserver interface {
	// predictLatency gives when a request sent now would be answered by a server; false: it can't be sent there.
	predictLatency(server policy.EndpointID, class int) (time.Duration, bool)
}

// NewOracle decides with the servers' true state, present speed and room at hand, which no node has: what is
// beyond it is beyond any choice of servers at the moment a request comes. It sends to the server that
// answers first, never to one that would fall over, and refuses at once what none can answer in time.
func NewOracle(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
	return &oracle{set: set, host: host, observer: host.(serverObserver), rng: rand.New(rand.NewPCG(seed, 5)), requests: map[policy.RequestID]*oracleRequest{}}, nil
}

type oracleRequest struct {
	id           policy.RequestID
	class        int
	attempts     int
	latestAnswer time.Duration
	mayHaveRun   bool
}

type oracle struct {
	set      policy.Settings
	host     policy.Host
	observer serverObserver
	rng      *rand.Rand
	ready    []policy.EndpointID
	requests map[policy.RequestID]*oracleRequest
}

// oracleObjectiveShare is the share of its aim that a request may be expected to take: what work it is, nobody sees ahead.
const oracleObjectiveShare = 0.4

// Request implements Decider.
func (o *oracle) Request(now time.Duration, q policy.Request) {
	c := &o.set.Classes[q.Class]
	aim := c.LatencyObjective
	if aim == 0 {
		aim = c.Deadline
	}
	share := oracleObjectiveShare
	for i := range o.set.Classes { // the dearest class finds room that the others left
		if o.set.Classes[i].PriorityWeight > c.PriorityWeight {
			share = oracleObjectiveShare / 2
		}
	}
	r := &oracleRequest{id: q.ID, class: q.Class, latestAnswer: now + time.Duration(share*float64(min(aim, q.TimeRemaining)))}
	o.requests[q.ID] = r
	o.sendOrReject(now, r)
}

// sendOrReject sends a request or refuses it.
func (o *oracle) sendOrReject(now time.Duration, r *oracleRequest) {
	best, soonest := -1, time.Duration(0)
	for i, from := 0, o.rng.IntN(max(1, len(o.ready))); i < len(o.ready); i++ {
		at := (from + i) % len(o.ready)
		if d, ok := o.observer.predictLatency(o.ready[at], r.class); ok && (best < 0 || d < soonest) {
			best, soonest = at, d
		}
	}
	if best < 0 || now+soonest > r.latestAnswer {
		o.finish(r, best >= 0)
		return
	}
	r.attempts++
	o.host.Send(r.id, o.ready[best], 0)
}

// finish ends a request; some: servers are up, and will have room.
func (o *oracle) finish(r *oracleRequest, some bool) {
	delete(o.requests, r.id)
	if r.mayHaveRun && o.set.Classes[r.class].Idempotency != policy.Idempotent {
		o.host.Fail(r.id)
		return
	}
	wait := time.Duration(0)
	if some {
		wait = o.set.Limits.MaxRetryAfter / 2
	}
	o.host.Reject(r.id, wait)
}

// Timer implements Decider.
func (o *oracle) Timer(time.Duration, uint64) {}

// Outcome implements Decider.
func (o *oracle) Outcome(now time.Duration, out policy.Outcome) {
	r := o.requests[out.ID]
	if r == nil || out.RequestDone {
		delete(o.requests, out.ID)
		return
	}
	r.mayHaveRun = r.mayHaveRun || out.Status != policy.Rejected && out.Status != policy.ConnectFailed && out.Status != policy.NeverSent
	if r.attempts >= o.set.Limits.MaxAttempts || r.mayHaveRun && o.set.Classes[r.class].Idempotency == policy.NotIdempotent || now >= r.latestAnswer {
		o.finish(r, true)
		return
	}
	o.sendOrReject(now, r)
}

// ClientDisconnected implements Decider.
func (o *oracle) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(o.requests, id) }

// UpdateEndpoints implements Decider.
func (o *oracle) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.FullUpdate {
		o.ready = o.ready[:0]
	}
	for _, e := range entries {
		if e.State == policy.Ready {
			o.ready = append(o.ready, e.ID)
		}
	}
}

// predictLatency implements serverObserver.
func (n *node) predictLatency(server policy.EndpointID, class int) (time.Duration, bool) {
	for _, m := range n.servers {
		if m.id != server {
			continue
		}
		k, work := &n.scenario.ServerKind, n.scenario.Classes[class].Work
		if !m.Bears(n.now, work+m.workInTransit) || m.Trouble.Silent || m.Trouble.Fail > 0 {
			return 0, false
		}
		took := time.Duration(float64(work) * max(1, m.Trouble.Slow) / (k.Speed * m.Share(n.now)))
		ahead := time.Duration(float64(m.workInTransit) / (float64(k.Cores) * k.Speed * m.Share(n.now)))
		return m.Wait(n.now) + ahead + took + 4*n.scenario.NetworkDelay, true
	}
	return 0, false
}
