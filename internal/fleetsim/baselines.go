package fleetsim

import (
	"math/rand/v2"
	"time"

	"yokestall/policy"
)

// Baselines are the deciders with which the balancer is compared, by their printed names. Each picks an endpoint anew for
// every retry. It retries a failed request only if the request was not executed or its class allows the repetition. Only
// the oracle, which cannot exist in reality, sheds load.
var Baselines = map[string]DeciderFactory{
	"oracle":      NewOracle,
	"random":      newBaseline(func(b *baseline) int { return b.rng.IntN(len(b.ready)) }),
	"round robin": newBaseline((*baseline).nextInTurn),
	"least":       newBaseline((*baseline).leastInFlight),
	"two choices": newBaseline((*baseline).betterOfTwo),
}

// Weights of the old average and of a new sample in the moving average of latencies.
const (
	latencyWeightOld = 0.8
	latencyWeightNew = 0.2
)

// baseline is a Decider that picks endpoints with a function. Otherwise it only retries.
type baseline struct {
	settings policy.Settings
	host     policy.Host
	rng      *rand.Rand
	pick     func(*baseline) int // returns an index in ready
	ready    readyEndpoints
	inFlight map[policy.EndpointID]int
	latency  map[policy.EndpointID]float64 // moving average in seconds
	turn     int                           // number of picks by round robin
	requests map[policy.RequestID]*baselineRequest
}

type baselineRequest struct {
	class      int
	attempts   int
	mayHaveRun bool
	endpoint   policy.EndpointID // endpoint of the last attempt
}

func newBaseline(pick func(*baseline) int) DeciderFactory {
	return func(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
		return &baseline{
			settings: set,
			host:     host,
			rng:      rand.New(rand.NewPCG(seed, 3)),
			pick:     pick,
			inFlight: map[policy.EndpointID]int{},
			latency:  map[policy.EndpointID]float64{},
			requests: map[policy.RequestID]*baselineRequest{},
		}, nil
	}
}

// nextInTurn picks endpoints round robin.
func (b *baseline) nextInTurn() int {
	b.turn++
	return b.turn % len(b.ready)
}

// leastInFlight picks the endpoint with the fewest requests in flight, like least_conn of nginx and like LEAST_REQUEST of
// Envoy over all endpoints.
func (b *baseline) leastInFlight() int {
	best, first := 0, b.rng.IntN(len(b.ready))
	for i := range b.ready {
		at := (first + i) % len(b.ready)
		if i == 0 || b.inFlight[b.ready[at]] < b.inFlight[b.ready[best]] {
			best = at
		}
	}
	return best
}

// betterOfTwo picks the endpoint with the lower cost out of two random ones (Mitzenmacher, 2001; peak EWMA in Finagle).
func (b *baseline) betterOfTwo() int {
	first, second := b.rng.IntN(len(b.ready)), b.rng.IntN(len(b.ready))
	if b.cost(second) < b.cost(first) {
		return second
	}
	return first
}

// cost returns the product of requests in flight, plus 1, and average latency, plus 1 ms, of the endpoint ready[i].
func (b *baseline) cost(i int) float64 {
	const minLatency = 1e-3 // seconds
	id := b.ready[i]
	return float64(1+b.inFlight[id]) * (minLatency + b.latency[id])
}

// Request implements Decider.
func (b *baseline) Request(_ time.Duration, q policy.Request) {
	b.requests[q.ID] = &baselineRequest{class: q.Class}
	b.send(q.ID)
}

func (b *baseline) send(id policy.RequestID) {
	r := b.requests[id]
	if len(b.ready) == 0 {
		delete(b.requests, id)
		b.host.Reject(id, 0)
		return
	}
	r.endpoint = b.ready[b.pick(b)]
	r.attempts++
	b.inFlight[r.endpoint]++
	b.host.Send(id, r.endpoint, 0)
}

// Outcome implements Decider.
func (b *baseline) Outcome(_ time.Duration, o policy.Outcome) {
	b.inFlight[o.Endpoint] = max(0, b.inFlight[o.Endpoint]-1)
	b.latency[o.Endpoint] = latencyWeightOld*b.latency[o.Endpoint] + latencyWeightNew*o.Latency.Seconds()
	r := b.requests[o.ID]
	if r == nil || o.RequestDone {
		delete(b.requests, o.ID)
		return
	}
	r.mayHaveRun = r.mayHaveRun || mayHaveRun(o.Status)
	if b.mayRetry(r) && o.Status != policy.Timeout {
		b.send(o.ID)
		return
	}
	delete(b.requests, o.ID)
	if r.mayHaveRun {
		b.host.Fail(o.ID)
	} else {
		b.host.Reject(o.ID, 0)
	}
}

func (b *baseline) mayRetry(r *baselineRequest) bool {
	repeatable := !r.mayHaveRun || b.settings.Classes[r.class].Idempotency != policy.NotIdempotent
	return repeatable && r.attempts < b.settings.Limits.MaxAttempts
}

// ClientDisconnected implements Decider.
func (b *baseline) ClientDisconnected(_ time.Duration, id policy.RequestID) { delete(b.requests, id) }

// Timer implements Decider.
func (b *baseline) Timer(time.Duration, uint64) {}

// UpdateEndpoints implements Decider.
func (b *baseline) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	b.ready.update(kind, entries)
}

// readyEndpoints are the endpoints to which requests may be sent.
type readyEndpoints []policy.EndpointID

func (r *readyEndpoints) update(kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.FullUpdate {
		*r = (*r)[:0]
	}
	for _, e := range entries {
		if e.State == policy.Ready {
			*r = append(*r, e.ID)
		}
	}
}

// mayHaveRun reports whether an attempt with this status may have been executed by the server.
func mayHaveRun(status policy.Status) bool {
	return status != policy.Rejected && status != policy.ConnectFailed && status != policy.NeverSent
}
