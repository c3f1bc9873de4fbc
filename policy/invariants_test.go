package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// invariantHost plays a random script against one Balancer and checks the rules on each action: one final answer in
// time, no effect twice, no send after a notice, no attempt too many.
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

type trackedRequest struct {
	class    Class
	deadline time.Duration
	attempts []*trackedAttempt
	done     bool
}

type trackedAttempt struct {
	endpoint Endpoint
	sent     time.Duration
	inFlight bool
	neverRan bool
}

func (w *invariantHost) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	w.fakeHost.Send(id, endpoint, timeout)
	p, e := w.requests[id], w.endpoints[endpoint]
	switch {
	case p == nil || p.done:
		w.t.Errorf("%v: sent request %d, which is finished", w.now, id)
		return
	case e.State != Ready:
		w.t.Errorf("%v: sent request %d to endpoint %d in state %d", w.now, id, endpoint, e.State)
	case len(p.attempts) >= 4:
		w.t.Errorf("%v: request %d has too many attempts", w.now, id)
	}
	for _, a := range p.attempts {
		if a.neverRan {
			continue
		}
		if p.class.Idempotency == NotIdempotent {
			w.t.Errorf("%v: non-idempotent request %d sent again though it may have run", w.now, id)
		}
		if p.class.Idempotency == IdempotentByKey &&
			(a.endpoint.Cell != e.Cell || w.now-a.sent >= p.class.DedupWindow) {
			w.t.Errorf("%v: keyed request %d repeated outside its scope or window", w.now, id)
		}
	}
	p.attempts = append(p.attempts, &trackedAttempt{endpoint: e, sent: w.now, inFlight: true})
}

func (w *invariantHost) recordFinalAnswer(id RequestID) *trackedRequest {
	w.finalAnswers[id]++
	p := w.requests[id]
	if p == nil || p.done {
		w.t.Errorf("%v: request %d answered twice", w.now, id)
		return &trackedRequest{}
	}
	if w.now > p.deadline+20*ms {
		w.t.Errorf("%v: request %d answered after its end at %v", w.now, id, p.deadline)
	}
	p.done = true
	return p
}

func (w *invariantHost) Reject(id RequestID, after time.Duration) {
	w.fakeHost.Reject(id, after)
	p := w.recordFinalAnswer(id)
	for _, a := range p.attempts {
		if !a.neverRan && p.class.Idempotency != Idempotent {
			w.t.Errorf("%v: request %d rejected though it may have run", w.now, id)
		}
	}
}

func (w *invariantHost) Fail(id RequestID) {
	w.fakeHost.Fail(id)
	w.recordFinalAnswer(id)
}

// endAttempt ends attempt i of a request with a random status, or by its deadline.
func (w *invariantHost) endAttempt(id RequestID, p *trackedRequest, i int) {
	a := p.attempts[i]
	status := []Status{OK, OK, OK, ErrorResponse, Rejected, Timeout, ConnectFailed, Reset}[w.rng.IntN(8)]
	if w.now >= p.deadline {
		status = Timeout
	}
	if p.done {
		status = Cancelled
	}
	a.inFlight = false
	a.neverRan = status == Rejected || status == ConnectFailed
	if status == OK {
		w.recordFinalAnswer(id)
	}
	w.b.Outcome(w.now, Outcome{ID: id, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
		Latency: w.now - a.sent, RequestDone: p.done})
}

func (w *invariantHost) step(ids []RequestID) {
	for _, id := range ids {
		p := w.requests[id]
		for i, a := range p.attempts {
			if a.inFlight && (w.now >= p.deadline || p.done || w.rng.IntN(12) == 0) {
				w.endAttempt(id, p, i)
			}
		}
		if !p.done && w.rng.IntN(400) == 0 {
			p.done = true
			w.finalAnswers[id]++
			w.b.ClientDisconnected(w.now, id)
		}
	}
	var due []timer
	pending := w.timers[:0]
	for _, t := range w.timers {
		if t.at <= w.now {
			due = append(due, t)
		} else {
			pending = append(pending, t)
		}
	}
	w.timers = pending
	for _, t := range due {
		w.b.Timer(w.now, t.token)
	}
}

// changeEndpoint drains, removes, restarts or adds an endpoint.
func (w *invariantHost) changeEndpoint(start time.Duration) {
	id := EndpointID(1 + w.rng.IntN(12))
	e := Endpoint{ID: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(w.rng.IntN(3))}
	if w.rng.IntN(3) == 0 {
		e.State, e.StartedAt = Ready, start
	}
	w.endpoints[id] = e
	w.b.UpdateEndpoints(w.now, DeltaUpdate, []Endpoint{e})
}

func runScript(t *testing.T, seed uint64) []string {
	set := testSettings()
	set.Classes[0].LateWeight = 0.5
	set.Tenants = []Tenant{{QuotaPerS: 50}}
	w := &invariantHost{fakeHost: newFakeHost(), t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		requests: map[RequestID]*trackedRequest{}, finalAnswers: map[RequestID]int{}, endpoints: map[EndpointID]Endpoint{}}
	b, err := New(set, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	entries := ready(1, 8)
	for i := range entries {
		entries[i].Cell = int(entries[i].ID) / 3
		w.endpoints[entries[i].ID] = entries[i]
	}
	b.UpdateEndpoints(w.now, CachedUpdate, entries)
	var ids []RequestID
	for step := range 4000 {
		w.now += 5 * ms
		for range w.rng.IntN(4) {
			if step >= 3500 {
				break // let it run dry
			}
			id := RequestID(len(ids) + 1)
			class := w.rng.IntN(3)
			left := time.Duration(300+w.rng.IntN(1700)) * ms
			ids = append(ids, id)
			w.requests[id] = &trackedRequest{class: set.Classes[class], deadline: w.now + left}
			b.Request(w.now, Request{ID: id, Class: class, TimeRemaining: left})
		}
		if w.rng.IntN(60) == 0 {
			w.changeEndpoint(w.now)
		}
		w.step(ids)
	}
	for _, id := range ids {
		if w.finalAnswers[id] != 1 {
			t.Errorf("request %d got %d final answers", id, w.finalAnswers[id])
		}
	}
	if len(b.requests) > 0 || len(b.openRequests) > 0 {
		t.Errorf("%d requests and %d open ones remembered at the end", len(b.requests), len(b.openRequests))
	}
	return w.log
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
		t.Fatal("two runs of the same script differ")
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
		t.Fatal("interleaved instances act unlike a single one")
	}
}
