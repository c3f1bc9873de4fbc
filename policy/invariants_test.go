package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// invariantHost delivers random events to one Balancer and checks invariants at each action: one final
// answer for each request and in time, no second effect, no send to an endpoint that is not ready, and no
// more attempts than allowed.
type invariantHost struct {
	*fakeHost
	t            *testing.T
	rng          *rand.Rand
	b            *Balancer
	now          time.Duration
	requests     map[RequestID]*trackedRequest
	finalAnswers map[RequestID]int
	endpoints    map[EndpointID]Endpoint
}

// trackedRequest is the state of a request as the host knows it.
type trackedRequest struct {
	class    Class
	deadline time.Duration
	attempts []*trackedAttempt
	done     bool
}

// trackedAttempt is the state of an attempt as the host knows it.
type trackedAttempt struct {
	endpoint Endpoint
	sent     time.Duration
	inFlight bool
	neverRan bool
}

func (h *invariantHost) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	h.fakeHost.Send(id, endpoint, timeout)
	r, e := h.requests[id], h.endpoints[endpoint]
	switch {
	case r == nil || r.done:
		h.t.Errorf("%v: request %d was sent after its final answer", h.now, id)
		return
	case e.State != Ready:
		h.t.Errorf("%v: request %d was sent to endpoint %d in state %d, want only ready endpoints", h.now, id, endpoint, e.State)
	case len(r.attempts) >= 4:
		h.t.Errorf("%v: request %d has more than 4 attempts", h.now, id)
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		if r.class.Idempotency == NotIdempotent {
			h.t.Errorf("%v: request %d, which is not idempotent, was sent again though it may have run", h.now, id)
		}
		if r.class.Idempotency == IdempotentByKey &&
			(a.endpoint.Cell != e.Cell || h.now-a.sent >= r.class.DedupWindow) {
			h.t.Errorf("%v: request %d with an idempotency key was repeated outside its deduplication scope or window", h.now, id)
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{endpoint: e, sent: h.now, inFlight: true})
}

func (h *invariantHost) recordFinalAnswer(id RequestID) *trackedRequest {
	h.finalAnswers[id]++
	p := h.requests[id]
	if p == nil || p.done {
		h.t.Errorf("%v: request %d has a second final answer or is unknown", h.now, id)
		return &trackedRequest{}
	}
	if h.now > p.deadline+20*ms {
		h.t.Errorf("%v: request %d has its final answer more than 20 ms after its deadline %v", h.now, id, p.deadline)
	}
	p.done = true
	return p
}

func (h *invariantHost) Reject(id RequestID, after time.Duration) {
	h.fakeHost.Reject(id, after)
	p := h.recordFinalAnswer(id)
	for _, a := range p.attempts {
		if !a.neverRan && p.class.Idempotency != Idempotent {
			h.t.Errorf("%v: request %d, whose class is NotIdempotent or IdempotentByKey, was rejected though it may have run", h.now, id)
		}
	}
}

func (h *invariantHost) Fail(id RequestID) {
	h.fakeHost.Fail(id)
	h.recordFinalAnswer(id)
}

// endAttempt ends attempt i of a request. The status is Cancelled for a request that is done, else Timeout
// after the deadline, else random.
func (h *invariantHost) endAttempt(id RequestID, p *trackedRequest, i int) {
	a := p.attempts[i]
	status := []Status{OK, OK, OK, ErrorResponse, Rejected, Timeout, ConnectFailed, Reset}[h.rng.IntN(8)]
	if h.now >= p.deadline {
		status = Timeout
	}
	if p.done {
		status = Cancelled
	}
	a.inFlight = false
	a.neverRan = status == Rejected || status == ConnectFailed
	if status == OK {
		h.recordFinalAnswer(id)
	}
	h.b.Outcome(h.now, Outcome{ID: id, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
		Latency: h.now - a.sent, RequestDone: p.done})
}

func (h *invariantHost) step(ids []RequestID) {
	for _, id := range ids {
		p := h.requests[id]
		for i, a := range p.attempts {
			if a.inFlight && (h.now >= p.deadline || p.done || h.rng.IntN(12) == 0) {
				h.endAttempt(id, p, i)
			}
		}
		if !p.done && h.rng.IntN(400) == 0 {
			p.done = true
			h.finalAnswers[id]++
			h.b.ClientDisconnected(h.now, id)
		}
	}
	var due []timer
	pending := h.timers[:0]
	for _, t := range h.timers {
		if t.at <= h.now {
			due = append(due, t)
		} else {
			pending = append(pending, t)
		}
	}
	h.timers = pending
	for _, t := range due {
		h.b.Timer(h.now, t.token)
	}
}

// changeEndpoint changes the state of a random endpoint, restarts it or adds it.
func (h *invariantHost) changeEndpoint(start time.Duration) {
	id := EndpointID(1 + h.rng.IntN(12))
	e := Endpoint{ID: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(h.rng.IntN(3))}
	if h.rng.IntN(3) == 0 {
		e.State, e.StartedAt = Ready, start
	}
	h.endpoints[id] = e
	h.b.UpdateEndpoints(h.now, DeltaUpdate, []Endpoint{e})
}

// runScript delivers the random events of a seed and checks that every request has exactly one final
// answer. It returns the actions of the Balancer.
func runScript(t *testing.T, seed uint64) []string {
	set := testSettings()
	set.Classes[0].LateWeight = 0.5
	set.Tenants = []Tenant{{QuotaPerSecond: 50}}
	h := &invariantHost{fakeHost: newFakeHost(), t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		requests: map[RequestID]*trackedRequest{}, finalAnswers: map[RequestID]int{}, endpoints: map[EndpointID]Endpoint{}}
	b, err := New(set, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	h.b = b
	entries := ready(1, 8)
	for i := range entries {
		entries[i].Cell = int(entries[i].ID) / 3
		h.endpoints[entries[i].ID] = entries[i]
	}
	b.UpdateEndpoints(h.now, CachedUpdate, entries)
	var ids []RequestID
	for step := range 4000 {
		h.now += 5 * ms
		for range h.rng.IntN(4) {
			if step >= 3500 {
				break // no new requests, so that the open ones end
			}
			id := RequestID(len(ids) + 1)
			class := h.rng.IntN(3)
			left := time.Duration(300+h.rng.IntN(1700)) * ms
			ids = append(ids, id)
			h.requests[id] = &trackedRequest{class: set.Classes[class], deadline: h.now + left}
			b.Request(h.now, Request{ID: id, Class: class, TimeRemaining: left})
		}
		if h.rng.IntN(60) == 0 {
			h.changeEndpoint(h.now)
		}
		h.step(ids)
	}
	for _, id := range ids {
		if h.finalAnswers[id] != 1 {
			t.Errorf("request %d got %d final answers, want 1", id, h.finalAnswers[id])
		}
	}
	if len(b.requests) > 0 || len(b.openRequests) > 0 {
		t.Errorf("%d requests and %d open requests stored at the end, want none", len(b.requests), len(b.openRequests))
	}
	return h.log
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScript(t, seed)
		})
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	t.Parallel()
	one, two := runScript(t, 3), runScript(t, 3)
	if a, b := strings.Join(one, "\n"), strings.Join(two, "\n"); a != b {
		t.Fatal("two runs with the same events and seed have different actions")
	}
}

func TestInterleavedInstancesActAsEachAlone(t *testing.T) {
	drive := func(rigs ...*rig) {
		for i := range 300 {
			for _, r := range rigs {
				id := r.request(i % 3)
				r.advance(7 * ms)
				if n := len(r.sendsOf(id)); n > r.delivered[id] {
					r.endAttempt(id, OK, 7*ms)
				}
			}
		}
	}
	alone, a, b := newRig(t, testSettings(), 5), newRig(t, testSettings(), 5), newRig(t, testSettings(), 5)
	drive(alone)
	drive(a, b)
	want := strings.Join(alone.h.log, "\n")
	if strings.Join(a.h.log, "\n") != want || strings.Join(b.h.log, "\n") != want {
		t.Fatal("interleaved Balancers have other actions than a single one with the same events")
	}
}
