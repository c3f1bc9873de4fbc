package policy

import (
	"testing"
	"time"
)

// Guards against cancels that cost more than they save: each takes its connection with it.
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
			t.Errorf("%+v: %d cancels, want %d", tc.costs, r.h.cancels, tc.cancels)
		}
	}
}

// Guards against a final answer after the grace: sweeps come every 10 ms, a grace may be shorter, and a tick
// may be longer than either.
func TestAnswerComesInTimeWhateverTheTick(t *testing.T) {
	for _, tick := range []time.Duration{ms, 5 * ms, 50 * ms} {
		set := testSettings()
		set.Tick, set.Rules.AnswerGrace = tick, 5*ms
		r := newRig(t, set, 0)
		r.update(FullUpdate, ready(1, 1)...)
		for range 40 {
			r.request(0) // far more than there is capacity for
		}
		const left = 122*ms + ms/2
		r.b.classes[2].unloadedLatency = 0.0001 // so that it stays queued to the last
		r.lastID++
		start := r.now
		r.b.Request(r.now, Request{ID: r.lastID, Class: 2, TimeRemaining: left})
		for r.now < start+left+set.Rules.AnswerGrace {
			r.now += tick // batches, and so timers, come a tick apart
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
			t.Errorf("tick %v: rejected %v, %v after the end", tick, rejected, r.now-start-left)
		}
	}
}

// A request whose body is incomplete is no load, not unresponsive and no measure; its time begins with its
// last byte. One that finds no capacity is given up in time, however long its body may take.
func TestBodyIncomplete(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	b, e := r.b, r.b.endpoints[1]
	unloadedLatency := b.classes[0].unloadedLatency
	incomplete := func() RequestID {
		r.lastID++
		b.Request(r.now, Request{ID: r.lastID, TimeRemaining: time.Second, BodyIncomplete: true})
		return r.lastID
	}
	for range 20 { // many more than a limit allows
		incomplete()
	}
	r.advance(time.Minute) // slow clients
	if len(e.inFlight) != 20 || b.concurrency.inFlight != 0 || len(b.openRequests) != 20 {
		t.Fatalf("%d of 20 were sent, %d count as load, %d are open",
			len(e.inFlight), b.concurrency.inFlight, len(b.openRequests))
	}
	if e.breaker.state != breakerClosed || len(e.breaker.failures) > 0 {
		t.Fatalf("breaker %v, %d failures", e.breaker.state, len(e.breaker.failures))
	}
	r.endAttempt(1, OK, time.Minute) // answered before its end
	if b.classes[0].unloadedLatency != unloadedLatency {
		t.Error("a slow client counts in what requests take")
	}
	for id := RequestID(2); id <= 20; id++ {
		b.BodyComplete(r.now, id, time.Second)
		b.BodyComplete(r.now, id, time.Second)
		if left := b.requests[id].deadline - r.now; left != time.Second-b.settings.Tick {
			t.Fatalf("its time ends after %v", left)
		}
	}
	if b.concurrency.inFlight != 19 || e.incompleteBodies != 0 {
		t.Errorf("%d count as load, %d as incomplete", b.concurrency.inFlight, e.incompleteBodies)
	}
	for id := RequestID(2); id <= 20; id++ {
		r.endAttempt(id, OK, 10*ms)
	}
	queued := incomplete()
	r.endAttempt(queued, ConnectFailed, ms)
	r.advance(2 * time.Second)
	if len(b.openRequests) != 0 {
		t.Error("one that finds no capacity is queued for ever")
	}
	orphan := incomplete() // its endpoint restarts meanwhile
	r.update(DeltaUpdate, Endpoint{ID: 1, State: Ready, Weight: 1, StartedAt: r.now})
	b.BodyComplete(r.now, orphan, time.Second)
	r.endAttempt(orphan, Reset, ms)
	if e := b.endpoints[1]; e.incompleteBodies != 0 || b.concurrency.inFlight != 0 || len(e.inFlight) != 0 {
		t.Errorf("%d incomplete, %d in flight, %d at the endpoint",
			e.incompleteBodies, b.concurrency.inFlight, len(e.inFlight))
	}
}
