package policy

import (
	"testing"
	"time"
)

// Guards against cancels that cost more than they save. Each cancel closes the connection of its attempt.
func TestCancelsFollowCosts(t *testing.T) {
	for _, tc := range []struct {
		costs   Costs
		cancels int
	}{{Costs{}, 1}, {Costs{WastedWork: 0.02}, 1}, {Costs{NewConnection: 0.12, WastedWork: 0.02}, 0}} {
		set := testSettings()
		set.Costs = tc.costs
		r := newRig(t, set, 3)
		r.serve(60, 0, 20*ms)
		id := r.request(0)
		for len(r.sendsOf(id)) < 2 { // the first endpoint is unresponsive
			r.advance(10 * ms)
		}
		r.b.Outcome(r.now, Outcome{ID: id, Attempt: 1, Endpoint: r.sendsOf(id)[1], Status: OK,
			RequestDone: true, Latency: 20 * ms})
		if r.h.cancels != tc.cancels {
			t.Errorf("costs %+v: %d cancels, want %d", tc.costs, r.h.cancels, tc.cancels)
		}
	}
}

// Guards against a final answer after the answer grace has passed. Sweeps run every 10 ms, the grace may be
// shorter, and a tick may be longer than both.
func TestAnswerComesInTimeWhateverTheTick(t *testing.T) {
	for _, tick := range []time.Duration{ms, 5 * ms, 50 * ms} {
		set := testSettings()
		set.Tick, set.Rules.AnswerGrace = tick, 5*ms
		r := newRig(t, set, 0)
		r.update(FullUpdate, ready(1, 1)...)
		for range 40 {
			r.request(0) // far more requests than there is capacity for
		}
		const left = 122*ms + ms/2
		r.b.classes[2].unloadedLatency = 0.0001 // so that the request stays queued until its deadline
		r.lastID++
		start := r.now
		r.b.Request(r.now, Request{ID: r.lastID, Class: 2, TimeRemaining: left})
		for r.now < start+left+set.Rules.AnswerGrace {
			r.now += tick // events, and so timers, are delivered in batches one tick apart
			due := r.h.timers
			r.h.timers = nil
			for _, x := range due {
				if x.at <= r.now {
					r.b.Timer(r.now, x.token)
				} else {
					r.h.timers = append(r.h.timers, x)
				}
			}
			if _, rejected := r.h.rejected[r.lastID]; rejected {
				break
			}
		}
		if _, rejected := r.h.rejected[r.lastID]; !rejected || r.now > start+left+set.Rules.AnswerGrace {
			t.Errorf("tick %v: rejected %v, %v after the client gave up, want a rejection within the grace",
				tick, rejected, r.now-start-left)
		}
	}
}

// Guards against taking a slow upload for a slow endpoint. An attempt whose request body is incomplete does
// not count as load, is not unresponsive and does not change the latency estimates; the deadline counts
// from the last byte. A request that gets no capacity is given up in time, however long its body may take.
func TestBodyIncomplete(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	b, e := r.b, r.b.endpoints[1]
	unloadedLatency := b.classes[0].unloadedLatency
	incomplete := func() RequestID {
		r.lastID++
		b.Request(r.now, Request{ID: r.lastID, TimeRemaining: time.Second, BodyIncomplete: true})
		return r.lastID
	}
	for range 20 { // many more requests than the concurrency limit
		incomplete()
	}
	r.advance(time.Minute) // the clients are still sending
	if len(e.inFlight) != 20 || b.concurrency.inFlight != 0 || len(b.openRequests) != 20 {
		t.Fatalf("%d of 20 requests sent, %d count as load (want 0), %d open (want 20)",
			len(e.inFlight), b.concurrency.inFlight, len(b.openRequests))
	}
	if e.breaker.state != breakerClosed || len(e.breaker.failures) > 0 {
		t.Fatalf("breaker %v with %d failures, want closed with none", e.breaker.state, len(e.breaker.failures))
	}
	r.endAttempt(1, OK, time.Minute) // answered before the body is complete
	if b.classes[0].unloadedLatency != unloadedLatency {
		t.Error("the latency of a request with an incomplete body changed the unloaded latency of its class")
	}
	for id := RequestID(2); id <= 20; id++ {
		b.BodyComplete(r.now, id, time.Second)
		b.BodyComplete(r.now, id, time.Second)
		if left := b.requests[id].deadline - r.now; left != time.Second-b.settings.Tick {
			t.Fatalf("deadline %v after the body is complete, want 1s less one tick", left)
		}
	}
	if b.concurrency.inFlight != 19 || e.incompleteBodies != 0 {
		t.Errorf("%d attempts count as load (want 19), %d bodies are incomplete (want 0)",
			b.concurrency.inFlight, e.incompleteBodies)
	}
	for id := RequestID(2); id <= 20; id++ {
		r.endAttempt(id, OK, 10*ms)
	}
	queued := incomplete()
	r.endAttempt(queued, ConnectFailed, ms)
	r.advance(2 * time.Second)
	if len(b.openRequests) != 0 {
		t.Error("a request with an incomplete body that gets no capacity was not given up")
	}
	orphan := incomplete() // the endpoint of this request restarts before the body is complete
	r.update(DeltaUpdate, Endpoint{ID: 1, State: Ready, Weight: 1, StartedAt: r.now})
	b.BodyComplete(r.now, orphan, time.Second)
	r.endAttempt(orphan, Reset, ms)
	if e := b.endpoints[1]; e.incompleteBodies != 0 || b.concurrency.inFlight != 0 || len(e.inFlight) != 0 {
		t.Errorf("%d incomplete bodies, %d attempts in flight, %d at the endpoint; want 0 of each",
			e.incompleteBodies, b.concurrency.inFlight, len(e.inFlight))
	}
}
