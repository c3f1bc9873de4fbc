package policy

import (
	"math/rand/v2"
	"time"

	"yokestall/internal/slowstart"
)

// Balancer makes the load-balancing decisions of one node. Create a Balancer with New. The exported methods
// deliver events, apart from Snapshot, Restore and SetSlowStartShare; no method may be called while another
// one runs.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand
	quotas   *Quotas
	classes  []class // in the order of Settings.Classes

	// Endpoints.
	endpoints      map[EndpointID]*endpoint // endpoints that are listed or have attempts in flight
	ready          []*endpoint              // endpoints listed as Ready, in the order of ringPosition
	subset         subset
	health         subsetHealth
	pollDelay      time.Duration // mean delay of the next poll after a failed one
	slowStartRules slowstart.Rules
	budgetShare    float64      // share of the node's slow-start budgets that this Balancer may use, 0 to 1
	workRate       decayingRate // work sent, in seconds per second
	warmWorkRate   float64      // an endpoint's work per second from all nodes while most endpoints were warm
	candidates     []*endpoint  // buffer of pick, reused by each call
	lateCandidates []*endpoint  // buffer of pick, reused by each call

	// Requests.
	requests     map[RequestID]*request // requests that are not done or have attempts in flight
	openRequests []*request             // requests that are not done
	queue        []*request             // requests that wait for capacity, in the order of precedes
	turn         classTurn              // whose turn it is in the queue
	freeRequests []*request             // records to be reused
	sweepAt      time.Duration          // time of the next sweep; never if none is scheduled

	// Load.
	concurrency      concurrency
	typicalLatency   float64 // recent mean latency of all answers, in seconds
	typicalSamples   float64 // number of answers in typicalLatency; 0: it is a guess
	latencyInflation float64 // recent mean of ln(latency / unloaded latency), less endpoint.unloadedInflation
	retrySuccessRate float64 // success rate of recent retries and hedged requests, 0 to 1
}

// New returns a Balancer with an empty endpoint list. The seed determines its random choices. An invalid
// setting results in a *SettingError.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	quotas := settings.Quotas
	if quotas == nil {
		var err error
		if quotas, err = NewQuotas(settings.Tenants, settings.NodeCount); err != nil {
			return nil, err
		}
	}
	b := &Balancer{
		settings: settings, host: host, random: rand.New(rand.NewPCG(seed, 0)), quotas: quotas,
		classes:   newClasses(&settings),
		endpoints: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{},
		subset:    subset{nodesPerEndpoint: float64(settings.NodeCount)},
		health:    subsetHealth{refreshedAt: notRefreshed, meanSuccess: 1, meanLatency: 1},
		pollDelay: minPollBackoff, sweepAt: never,
		concurrency:    concurrency{limit: float64(min(initialConcurrency, settings.NodeCount))},
		slowStartRules: newSlowStartRules(&settings.Rules),
		warmWorkRate:   minWarmWorkRate, budgetShare: 1, retrySuccessRate: 1,
	}
	b.settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, maxAttempts)
	b.typicalLatency = b.classes[0].unloadedLatency
	return b, nil
}

// UpdateEndpoints handles a response from discovery. The kind determines whether entries is the whole
// endpoint list or its changes.
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

// Request handles a request from a client. The request ends with Host.Reject, with Host.Fail, with an Outcome
// that has RequestDone or the status OK, or with ClientDisconnected.
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

// BodyComplete handles the arrival of the last body byte of a request that had BodyIncomplete set.
// timeRemaining is the time until the client gives up, as in Request.TimeRemaining.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID, timeRemaining time.Duration) {
	r := b.requests[id]
	if r == nil || !r.BodyIncomplete {
		return
	}
	r.BodyIncomplete = false
	b.setDeadlines(now, r, timeRemaining)
	b.recordBodyComplete(now, r)
	b.sweepBy(min(now+sweepInterval, r.deadline))
}

// StreamStarted handles the start of a streamed answer. From then on the attempt belongs to the client: the
// request gets no further attempt, its deadline no longer applies, and its other attempts are cancelled if
// Limits.AllowCancel permits.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil {
		return
	}
	r.streaming = true
	a.endpoint.recordSuccess(now, a)
	b.cancelAttempts(r, a)
}

// ClientDisconnected ends a request that needs no answer from the Balancer: its client has disconnected, or
// the host has answered it.
func (b *Balancer) ClientDisconnected(_ time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// Outcome handles the end of an attempt. It updates the endpoint first, then the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.endAttempt(r, a, o)
	b.recordOutcome(now, r, a, o)
	if o.Status == OK {
		b.recordOvertaken(now, r)
	}
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

// Timer handles the expiry of a timer that was set by Host.SetTimer. An outdated sweep timer has no effect.
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
