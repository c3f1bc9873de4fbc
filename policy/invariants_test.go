package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// world plays a random script against one Balancer and checks the rules on each action: one final answer in
// time, no effect twice, no send after a notice, no attempt too many.
type world struct {
	*fakeHost
	t        *testing.T
	rng      *rand.Rand
	b        *Balancer
	now      time.Duration
	open     map[RequestID]*played
	answered map[RequestID]int
	state    map[EndpointID]Endpoint
}

type played struct {
	class    Class
	end      time.Duration
	attempts []*playedAttempt
	done     bool
}

type playedAttempt struct {
	endpoint Endpoint
	sent     time.Duration
	inFlight bool
	neverRan bool
}

func (w *world) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	w.fakeHost.Send(id, endpoint, timeout)
	p, s := w.open[id], w.state[endpoint]
	switch {
	case p == nil || p.done:
		w.t.Errorf("%v: sent request %d, which is finished", w.now, id)
		return
	case s.State != Ready:
		w.t.Errorf("%v: sent request %d to endpoint %d in state %d", w.now, id, endpoint, s.State)
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
			(a.endpoint.Cell != s.Cell || w.now-a.sent >= p.class.DedupWindow) {
			w.t.Errorf("%v: keyed request %d repeated outside its scope or window", w.now, id)
		}
	}
	p.attempts = append(p.attempts, &playedAttempt{endpoint: s, sent: w.now, inFlight: true})
}

func (w *world) answer(id RequestID) *played {
	w.answered[id]++
	p := w.open[id]
	if p == nil || p.done {
		w.t.Errorf("%v: request %d answered twice", w.now, id)
		return &played{}
	}
	if w.now > p.end+20*ms {
		w.t.Errorf("%v: request %d answered after its end at %v", w.now, id, p.end)
	}
	p.done = true
	return p
}

func (w *world) Reject(id RequestID, after time.Duration) {
	w.fakeHost.Reject(id, after)
	p := w.answer(id)
	for _, a := range p.attempts {
		if !a.neverRan && p.class.Idempotency != Idempotent {
			w.t.Errorf("%v: request %d rejected though it may have run", w.now, id)
		}
	}
}

func (w *world) Fail(id RequestID) {
	w.fakeHost.Fail(id)
	w.answer(id)
}

// outcome ends attempt i of a request with a random status, or by its deadline.
func (w *world) outcome(id RequestID, p *played, i int) {
	a := p.attempts[i]
	status := []Status{OK, OK, OK, ErrorResponse, Rejected, Timeout, ConnectFailed, Reset}[w.rng.IntN(8)]
	if w.now >= p.end {
		status = Timeout
	}
	if p.done {
		status = Cancelled
	}
	a.inFlight = false
	a.neverRan = status == Rejected || status == ConnectFailed
	if status == OK {
		w.answer(id)
	}
	w.b.Outcome(w.now, Outcome{ID: id, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
		Latency: w.now - a.sent, RequestDone: p.done})
}

func (w *world) step(ids []RequestID) {
	for _, id := range ids {
		p := w.open[id]
		for i, a := range p.attempts {
			if a.inFlight && (w.now >= p.end || p.done || w.rng.IntN(12) == 0) {
				w.outcome(id, p, i)
			}
		}
		if !p.done && w.rng.IntN(400) == 0 {
			p.done = true
			w.answered[id]++
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

// change drains, removes, restarts or adds an endpoint.
func (w *world) change(start time.Duration) {
	id := EndpointID(1 + w.rng.IntN(12))
	e := Endpoint{ID: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(w.rng.IntN(3))}
	if w.rng.IntN(3) == 0 {
		e.State, e.StartedAt = Ready, start
	}
	w.state[id] = e
	w.b.UpdateEndpoints(w.now, DeltaUpdate, []Endpoint{e})
}

func playScript(t *testing.T, seed uint64) []string {
	set := testSettings()
	set.Classes[0].LateWeight = 0.5
	set.Tenants = []Tenant{{QuotaPerS: 50}}
	w := &world{fakeHost: newHost(), t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		open: map[RequestID]*played{}, answered: map[RequestID]int{}, state: map[EndpointID]Endpoint{}}
	b, err := New(set, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	entries := ready(1, 8)
	for i := range entries {
		entries[i].Cell = int(entries[i].ID) / 3
		w.state[entries[i].ID] = entries[i]
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
			w.open[id] = &played{class: set.Classes[class], end: w.now + left}
			b.Request(w.now, Request{ID: id, Class: class, TimeRemaining: left})
		}
		if w.rng.IntN(60) == 0 {
			w.change(w.now)
		}
		w.step(ids)
	}
	for _, id := range ids {
		if w.answered[id] != 1 {
			t.Errorf("request %d got %d final answers", id, w.answered[id])
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
			playScript(t, seed)
		})
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	t.Parallel()
	one, two := playScript(t, 3), playScript(t, 3)
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
				if n := len(r.sendsOf(id)); n > r.done[id] {
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
