package policy

import (
	"math/rand/v2"
	"time"

	"yokestall/internal/slowstart"
)

// Balancer decides for one node. Create it with New. Its exported methods are the events; none may be called
// while another runs.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand
	quotas   *Quotas
	classes  []class // as Settings.Classes

	// Endpoints.
	endpoints      map[EndpointID]*endpoint // listed, or with attempts in flight
	ready          []*endpoint              // listed as Ready, in the order of ringPosition
	subset         subset
	health         subsetHealth
	pollDelay      time.Duration // until the next poll after a failed one
	slowStartRules slowstart.Rules
	budgetShare    float64      // share of the node's slow-start budgets that this Balancer may use, 0 to 1
	workRate       decayingRate // work sent, in seconds per second
	warmWorkRate   float64      // work per second that an endpoint got from all nodes while most were warm
	candidates     []*endpoint  // scratch of pick
	lateCandidates []*endpoint  // scratch of pick

	// Requests.
	requests     map[RequestID]*request // not done, or with attempts in flight
	openRequests []*request             // not done
	queue        []*request             // waiting for capacity, in the order of precedes
	freeRequests []*request             // to be reused
	sweepAt      time.Duration          // time of the next sweep; never: none is set

	// Load.
	concurrency      concurrency
	typicalLatency   float64 // recent mean of all answers, seconds
	latencyInflation float64 // recent mean of the logarithm of the latency over the unloaded latency
	retrySuccessRate float64 // of recent retries and hedged requests, 0 to 1
}

// New returns a Balancer with an empty endpoint list. The seed determines its random choices. An impossible
// setting gives a *SettingError.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	quotas := set.Quotas
	if quotas == nil {
		var err error
		if quotas, err = NewQuotas(set.Tenants, set.NodeCount); err != nil {
			return nil, err
		}
	}
	b := &Balancer{
		settings: set, host: host, random: rand.New(rand.NewPCG(seed, 0)), quotas: quotas,
		classes:   newClasses(&set),
		endpoints: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{},
		subset:    subset{nodesPerEndpoint: float64(set.NodeCount)},
		health:    subsetHealth{refreshedAt: notRefreshed, meanSuccess: 1, meanLatency: 1},
		pollDelay: minPollBackoff, sweepAt: never,
		concurrency:    concurrency{limit: float64(min(initialConcurrency, set.NodeCount))},
		slowStartRules: newSlowStartRules(&set.Rules),
		warmWorkRate:   minWarmWorkRate, budgetShare: 1, retrySuccessRate: 1,
	}
	b.settings.Limits.MaxAttempts = min(set.Limits.MaxAttempts, maxAttempts)
	b.typicalLatency = b.classes[0].unloadedLatency
	return b, nil
}

// UpdateEndpoints takes a response of discovery: entries is the list or a part of it, by kind.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.backOffPolling(now)
		return
	}
	b.pollDelay = minPollBackoff
	if kind == CachedUpdate && b.settings.PollEndpoints {
		b.scheduleFirstPoll(now, len(entries) > 0)
	}
	b.applyUpdate(kind, entries)
	b.health.refreshedAt = notRefreshed
	b.dispatch(now)
}

// Request takes a client's request. It is answered by Host.Reject, by Host.Fail, or by an Outcome that says
// so.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Reject(q.ID, 0)
		return
	}
	c := &b.classes[q.Class]
	r := b.newRequest(q, c)
	b.setDeadlines(now, r, q.TimeRemaining)
	r.weight = c.PriorityWeight
	if !b.quotas.take(now, q.Tenant) {
		r.weight *= b.settings.OverQuotaWeight
	}
	b.subset.arrivals.add(now, 1)
	b.enqueue(r)
	b.dispatch(now)
	b.sweepBy(min(now+sweepInterval, r.deadline))
}

// BodyComplete says that the last byte arrived of a request that had BodyIncomplete. timeRemaining is the
// time until the client gives up, as in Request.TimeRemaining.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID, timeRemaining time.Duration) {
	r := b.requests[id]
	if r == nil || !r.BodyIncomplete {
		return
	}
	r.BodyIncomplete = false
	b.setDeadlines(now, r, timeRemaining)
	b.countBodyCompleted(now, r)
	b.sweepBy(min(now+sweepInterval, r.deadline))
}

// StreamStarted says that the stream of an answer began: the attempt is the client's from now on. Its request
// gets no further attempt and no deadline.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil {
		return
	}
	r.streaming = true
	a.endpoint.recordSuccess(now, a)
	b.cancelAttempts(r, a)
}

// ClientDisconnected says that the client went away: the request needs no answer.
func (b *Balancer) ClientDisconnected(_ time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// Outcome takes the end of an attempt: first for the endpoint, then for the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.endAttempt(r, a, o)
	b.recordOutcome(now, r, a, o)
	if o.RequestDone || o.Status == OK {
		b.finish(r)
	} else if !r.done && r.inFlight == 0 {
		b.retry(now, r)
	}
	if r.done {
		b.release(r)
	}
	b.dispatch(now)
}

// Timer takes a timer that Host.SetTimer set. One that is no longer needed has no effect.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = never
			b.sweep(now)
		}
	case tokenPoll:
		b.host.RequestPoll()
	}
}
