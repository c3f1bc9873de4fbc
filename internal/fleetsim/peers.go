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
	"random":      peer(func(p *chooser) int { return p.rng.IntN(len(p.ready)) }),
	"round robin": peer(func(p *chooser) int { p.turn++; return p.turn % len(p.ready) }),
	// Least outstanding requests, as nginx's least_conn and Envoy's LEAST_REQUEST over all.
	"least": peer(func(p *chooser) int {
		best, from := 0, p.rng.IntN(len(p.ready))
		for i := range p.ready {
			at := (from + i) % len(p.ready)
			if i == 0 || p.out[p.ready[at]] < p.out[p.ready[best]] {
				best = at
			}
		}
		return best
	}),
	// The better of two drawn, by outstanding requests times latency (Mitzenmacher, 2001; Finagle's
	// peak EWMA).
	"two choices": peer(func(p *chooser) int {
		a, b := p.rng.IntN(len(p.ready)), p.rng.IntN(len(p.ready))
		if p.cost(b) < p.cost(a) {
			return b
		}
		return a
	}),
}

// chooser is a peer.
type chooser struct {
	set   policy.Settings
	host  policy.Host
	rng   *rand.Rand
	pick  func(*chooser) int
	ready []policy.EndpointID
	out   map[policy.EndpointID]int
	ewma  map[policy.EndpointID]float64
	turn  int
	open  map[policy.RequestID]*asked
}

type asked struct {
	class, tries int
	ran          bool
	at           policy.EndpointID
}

func peer(pick func(*chooser) int) DeciderFactory {
	return func(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
		return &chooser{
			set: set, host: host, rng: rand.New(rand.NewPCG(seed, 3)), pick: pick,
			out: map[policy.EndpointID]int{}, ewma: map[policy.EndpointID]float64{}, open: map[policy.RequestID]*asked{},
		}, nil
	}
}

func (p *chooser) cost(i int) float64 {
	id := p.ready[i]
	return float64(1+p.out[id]) * (1e-3 + p.ewma[id])
}

// Request implements Decider.
func (p *chooser) Request(_ time.Duration, q policy.Request) {
	p.open[q.ID] = &asked{class: q.Class}
	p.send(q.ID)
}

func (p *chooser) send(id policy.RequestID) {
	a := p.open[id]
	if len(p.ready) == 0 {
		delete(p.open, id)
		p.host.Reject(id, 0)
		return
	}
	a.at = p.ready[p.pick(p)]
	a.tries++
	p.out[a.at]++
	p.host.Send(id, a.at, 0)
}

// Outcome implements Decider.
func (p *chooser) Outcome(_ time.Duration, o policy.Outcome) {
	p.out[o.Endpoint] = max(0, p.out[o.Endpoint]-1)
	p.ewma[o.Endpoint] = 0.8*p.ewma[o.Endpoint] + 0.2*o.Latency.Seconds()
	a := p.open[o.ID]
	if a == nil || o.RequestDone {
		delete(p.open, o.ID)
		return
	}
	ran := o.Status != policy.Rejected && o.Status != policy.ConnectFailed && o.Status != policy.NeverSent
	a.ran = a.ran || ran
	if a.tries < p.set.Limits.MaxAttempts && (!a.ran || p.set.Classes[a.class].Idempotency != policy.NotIdempotent) && o.Status != policy.Timeout {
		p.send(o.ID)
		return
	}
	delete(p.open, o.ID)
	if a.ran {
		p.host.Fail(o.ID)
	} else {
		p.host.Reject(o.ID, 0)
	}
}

// ClientDisconnected implements Decider.
func (p *chooser) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(p.open, id) }

// Timer implements Decider.
func (p *chooser) Timer(time.Duration, uint64) {}

// UpdateEndpoints implements Decider.
func (p *chooser) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.FullUpdate {
		p.ready = p.ready[:0]
	}
	for _, e := range entries {
		if e.State == policy.Ready {
			p.ready = append(p.ready, e.ID)
		}
	}
}
