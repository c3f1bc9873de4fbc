package fleetsim

import (
	"math/rand/v2"
	"time"

	"yokestall/policy"
)

// oracleObjectiveShare is the maximum predicted latency of a request, as a share of its latency objective. The rest is a
// reserve, because the prediction uses the mean work of the class.
const oracleObjectiveShare = 0.4

// serverObserver is a host that knows the actual state of the servers.
type serverObserver interface {
	// predictLatency predicts the latency of an attempt that is sent now. ok is false if the server is unknown, faulty or
	// has no capacity for the attempt.
	predictLatency(endpoint policy.EndpointID, class int) (latency time.Duration, ok bool)
}

var _ serverObserver = (*node)(nil)

// oracle is a Decider that knows the actual state of the servers.
type oracle struct {
	settings policy.Settings
	host     policy.Host
	observer serverObserver
	rng      *rand.Rand
	ready    readyEndpoints
	requests map[policy.RequestID]*oracleRequest
}

type oracleRequest struct {
	id           policy.RequestID
	class        int
	attempts     int
	latestAnswer time.Duration
	mayHaveRun   bool
}

// NewOracle creates a Decider that knows the actual state, speed and capacity of the servers, which no real node does. The
// results of this decider are a bound for every choice of servers. It sends a request to the server with the shortest
// predicted latency, never to a server that the request would overload, and immediately rejects a request that no server
// can answer in time. The host must be a node of the simulation.
func NewOracle(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
	return &oracle{
		settings: set,
		host:     host,
		observer: host.(serverObserver),
		rng:      rand.New(rand.NewPCG(seed, 5)),
		requests: map[policy.RequestID]*oracleRequest{},
	}, nil
}

// Request implements Decider.
func (o *oracle) Request(now time.Duration, q policy.Request) {
	c := &o.settings.Classes[q.Class]
	objective := c.LatencyObjective
	if objective == 0 {
		objective = c.Deadline
	}
	share := oracleObjectiveShare
	for i := range o.settings.Classes { // reserves capacity for a class with a higher priority weight
		if o.settings.Classes[i].PriorityWeight > c.PriorityWeight {
			share = oracleObjectiveShare / 2
		}
	}
	latest := now + time.Duration(share*float64(min(objective, q.TimeRemaining)))
	r := &oracleRequest{id: q.ID, class: q.Class, latestAnswer: latest}
	o.requests[q.ID] = r
	o.sendOrReject(now, r)
}

func (o *oracle) sendOrReject(now time.Duration, r *oracleRequest) {
	best, shortest := -1, time.Duration(0)
	for i, first := 0, o.rng.IntN(max(1, len(o.ready))); i < len(o.ready); i++ {
		at := (first + i) % len(o.ready)
		if d, ok := o.observer.predictLatency(o.ready[at], r.class); ok && (best < 0 || d < shortest) {
			best, shortest = at, d
		}
	}
	if best < 0 || now+shortest > r.latestAnswer {
		o.finish(r, best >= 0)
		return
	}
	r.attempts++
	o.host.Send(r.id, o.ready[best], 0)
}

// finish ends a request without an answer from a server. retryLater says whether a later retry may find capacity.
func (o *oracle) finish(r *oracleRequest, retryLater bool) {
	delete(o.requests, r.id)
	if r.mayHaveRun && o.settings.Classes[r.class].Idempotency != policy.Idempotent {
		o.host.Fail(r.id)
		return
	}
	retryAfter := time.Duration(0)
	if retryLater {
		retryAfter = o.settings.Limits.MaxRetryAfter / 2
	}
	o.host.Reject(r.id, retryAfter)
}

// Outcome implements Decider.
func (o *oracle) Outcome(now time.Duration, out policy.Outcome) {
	r := o.requests[out.ID]
	if r == nil || out.RequestDone {
		delete(o.requests, out.ID)
		return
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun(out.Status)
	repeatable := !r.mayHaveRun || o.settings.Classes[r.class].Idempotency != policy.NotIdempotent
	if !repeatable || r.attempts >= o.settings.Limits.MaxAttempts || now >= r.latestAnswer {
		o.finish(r, true)
		return
	}
	o.sendOrReject(now, r)
}

// Timer implements Decider.
func (o *oracle) Timer(time.Duration, uint64) {}

// ClientDisconnected implements Decider.
func (o *oracle) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(o.requests, id) }

// UpdateEndpoints implements Decider.
func (o *oracle) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	o.ready.update(kind, entries)
}

// predictLatency implements serverObserver.
func (n *node) predictLatency(endpoint policy.EndpointID, class int) (latency time.Duration, ok bool) {
	server := n.serverIndex(endpoint)
	if server < 0 {
		return 0, false
	}
	m, k, work := n.servers[server], &n.scenario.ServerKind, n.scenario.Classes[class].Work
	if !m.HasCapacityFor(n.now, work+m.workInTransit) || m.Fault.Unresponsive || m.Fault.FailureRate > 0 {
		return 0, false
	}
	const delays = 4 // network delays to add: 2 for the round trip and 2 as a reserve
	share := m.CapacityShare(n.now)
	service := time.Duration(float64(work) * max(1, m.Fault.Slowdown) / (k.Speed * share))
	inTransit := time.Duration(float64(m.workInTransit) / (float64(k.Cores) * k.Speed * share))
	return m.ExpectedWait(n.now) + inTransit + service + delays*n.scenario.NetworkDelay, true
}
