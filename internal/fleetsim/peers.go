package fleetsim

import (
	"math/rand/v2"
	"time"

	"yokestall/policy"
)

// NewBalancer is the decision module itself.
func NewBalancer(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
	return policy.New(set, seed, host)
}

// Baselines are other ways to choose, for comparison alone. Each tries again, on another server, what
// failed and may be sent again by its class; none but the oracle, which is no real one, refuses.
var Baselines = map[string]DeciderFactory{
	"oracle":      NewOracle,
	"random":      newBaseline(func(p *baseline) int { return p.rng.IntN(len(p.ready)) }),
	"round robin": newBaseline(func(p *baseline) int { p.turn++; return p.turn % len(p.ready) }),
	// Least outstanding requests, as nginx's least_conn and Envoy's LEAST_REQUEST over all.
	"least": newBaseline(func(p *baseline) int {
		best, from := 0, p.rng.IntN(len(p.ready))
		for i := range p.ready {
			at := (from + i) % len(p.ready)
			if i == 0 || p.inFlight[p.ready[at]] < p.inFlight[p.ready[best]] {
				best = at
			}
		}
		return best
	}),
	// The better of two drawn, by outstanding requests times latency (Mitzenmacher, 2001; Finagle's
	// peak EWMA).
	"two choices": newBaseline(func(p *baseline) int {
		a, b := p.rng.IntN(len(p.ready)), p.rng.IntN(len(p.ready))
		if p.cost(b) < p.cost(a) {
			return b
		}
		return a
	}),
}

// baseline is a peer.
type baseline struct {
	set      policy.Settings
	host     policy.Host
	rng      *rand.Rand
	pick     func(*baseline) int
	ready    []policy.EndpointID
	inFlight map[policy.EndpointID]int
	ewma     map[policy.EndpointID]float64
	turn     int
	requests map[policy.RequestID]*baselineRequest
}

type baselineRequest struct {
	class, attempts int
	mayHaveRun      bool
	endpoint        policy.EndpointID
}

func newBaseline(pick func(*baseline) int) DeciderFactory {
	return func(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
		return &baseline{
			set: set, host: host, rng: rand.New(rand.NewPCG(seed, 3)), pick: pick,
			inFlight: map[policy.EndpointID]int{}, ewma: map[policy.EndpointID]float64{}, requests: map[policy.RequestID]*baselineRequest{},
		}, nil
	}
}

func (p *baseline) cost(i int) float64 {
	id := p.ready[i]
	return float64(1+p.inFlight[id]) * (1e-3 + p.ewma[id])
}

// Request implements Decider.
func (p *baseline) Request(_ time.Duration, q policy.Request) {
	p.requests[q.ID] = &baselineRequest{class: q.Class}
	p.send(q.ID)
}

func (p *baseline) send(id policy.RequestID) {
	a := p.requests[id]
	if len(p.ready) == 0 {
		delete(p.requests, id)
		p.host.Reject(id, 0)
		return
	}
	a.endpoint = p.ready[p.pick(p)]
	a.attempts++
	p.inFlight[a.endpoint]++
	p.host.Send(id, a.endpoint, 0)
}

// Outcome implements Decider.
func (p *baseline) Outcome(_ time.Duration, o policy.Outcome) {
	p.inFlight[o.Endpoint] = max(0, p.inFlight[o.Endpoint]-1)
	p.ewma[o.Endpoint] = 0.8*p.ewma[o.Endpoint] + 0.2*o.Latency.Seconds()
	a := p.requests[o.ID]
	if a == nil || o.RequestDone {
		delete(p.requests, o.ID)
		return
	}
	ran := o.Status != policy.Rejected && o.Status != policy.ConnectFailed && o.Status != policy.NeverSent
	a.mayHaveRun = a.mayHaveRun || ran
	if a.attempts < p.set.Limits.MaxAttempts && (!a.mayHaveRun || p.set.Classes[a.class].Idempotency != policy.NotIdempotent) && o.Status != policy.Timeout {
		p.send(o.ID)
		return
	}
	delete(p.requests, o.ID)
	if a.mayHaveRun {
		p.host.Fail(o.ID)
	} else {
		p.host.Reject(o.ID, 0)
	}
}

// ClientDisconnected implements Decider.
func (p *baseline) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(p.requests, id) }

// Timer implements Decider.
func (p *baseline) Timer(time.Duration, uint64) {}

// UpdateEndpoints implements Decider.
func (p *baseline) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.FullUpdate {
		p.ready = p.ready[:0]
	}
	for _, e := range entries {
		if e.State == policy.Ready {
			p.ready = append(p.ready, e.ID)
		}
	}
}
