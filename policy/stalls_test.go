package policy

import (
	"slices"
	"testing"
	"time"
)

// stall delivers the report of a pause of an attempt.
func (r *rig) stall(id RequestID, index int) (replaceAt time.Duration, replace bool) {
	return r.b.AnswerStalled(r.now, id, index, AnswerProgress{})
}

// Guards against an attempt that is ended, or doubled, because its answer pauses, although the request may have no further one
// or the pause may still end in time; and against a request that waits for a broken answer although it may have another one.
func TestStalledAnswer(t *testing.T) {
	for _, c := range []struct {
		name                string
		idempotency         Idempotency
		hedging             bool
		remaining           time.Duration
		wantReplace         bool
		wantSendsAtDeadline int
	}{
		{"hedged", Idempotent, true, 900 * ms, false, 2},
		{"replaced", Idempotent, false, 900 * ms, true, 2},
		{"too late for another attempt", Idempotent, false, 21 * ms, false, 1},
		{"not idempotent", NotIdempotent, true, 900 * ms, false, 1},
		{"not idempotent, without hedging", NotIdempotent, false, 900 * ms, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Classes[0].Idempotency, s.Limits.AllowHedging = c.idempotency, c.hedging
			s.Classes[0].LateWeight = 1
			r := newRig(t, s, 6)
			r.serve(100, 0, 20*ms)
			id := RequestID(1 << 30)
			r.b.Request(r.now, Request{ID: id, TimeRemaining: c.remaining})
			start := r.now
			r.now += 20 * ms // shorter than what makes an attempt unresponsive
			replaceAt, replace := r.stall(id, 0)
			if replace != c.wantReplace || replace && replaceAt <= r.now {
				t.Fatalf("at the first pause: replace %v at %v, %v after the start; want %v, and not at once",
					replace, replaceAt, replaceAt-start, c.wantReplace)
			}
			if left := start + c.remaining - replaceAt; replace && (left < 20*ms || left > 200*ms) {
				t.Errorf("the attempt is replaced with %v left, want time for an answer that takes 20 ms and not much more", left)
			}
			if replace {
				r.now = replaceAt
				if at, due := r.stall(id, 0); !due || at > r.now {
					t.Fatalf("when the time has come: replace %v at %v, want at once (%v)", due, at, r.now)
				}
				r.endAttempt(id, ErrorResponse, r.now-start)
			}
			if sends := len(r.sendsOf(id)); sends != c.wantSendsAtDeadline {
				t.Errorf("%d sends, want %d", sends, c.wantSendsAtDeadline)
			}
			last := len(r.sendsOf(id)) - 1
			if _, again := r.stall(id, last); again {
				t.Error("the attempt that replaces a stalled one is to be replaced too")
			}
		})
	}
}

// Guards against sound endpoints that get no requests because their answers pause: a pause that ends well leaves the score and
// the circuit breaker as they were, also where the attempt was taken for unresponsive before.
func TestPauseThatEndsWellCostsNothing(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		s := testSettings()
		s.Limits.AllowHedging = hedging
		r := newRig(t, s, 1) // hedged requests have no other endpoint
		r.serve(100, 0, 20*ms)
		e := r.b.ready[0]
		for range 3 * failuresToOpen {
			r.advance(ms) // the last success was before the send
			id := r.request(0)
			r.advance(300 * ms) // the attempt is unresponsive meanwhile
			if len(e.breaker.failures) == 0 {
				t.Fatal("the attempt was not taken for unresponsive")
			}
			r.stall(id, 0)
			if len(e.breaker.failures) != 0 || e.outcomes.successes != e.outcomes.count {
				t.Fatalf("hedging %v: %d failures and %d of %d outcomes were successes after the report of a pause, want 0 and all",
					hedging, len(e.breaker.failures), e.outcomes.successes, e.outcomes.count)
			}
			r.advance(100 * ms)
			r.b.AnswerResumed(id, 0)
			r.endAttempt(id, OK, 250*ms)
		}
		if e.breaker.state != breakerClosed {
			t.Errorf("hedging %v: the breaker is not closed", hedging)
		}
	}
}

// Guards against an endpoint whose answers never end and that keeps its place: a stalled attempt that was replaced, overtaken
// or timed out counts as a failure.
func TestPauseThatNeverEndsIsAFailure(t *testing.T) {
	for name, end := range map[string]func(r *rig, id RequestID){
		"replaced": func(r *rig, id RequestID) {
			at, _ := r.stall(id, 0)
			r.now = at
			r.stall(id, 0)
			r.endAttempt(id, ErrorResponse, 500*ms)
		},
		"timed out": func(r *rig, id RequestID) {
			r.stall(id, 0)
			r.b.Outcome(r.now, Outcome{ID: id, Status: Timeout, Latency: time.Second})
		},
		"overtaken": func(r *rig, id RequestID) {
			r.b.settings.Limits.AllowHedging = true
			r.stall(id, 0)
			r.b.Outcome(r.now, Outcome{ID: id, Attempt: 1, Status: OK, Latency: 20 * ms})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Limits.AllowHedging = false
			s.Classes[0].LateWeight = 1
			r := newRig(t, s, 6)
			r.serve(100, 0, 20*ms)
			id := r.request(0)
			first := r.sendsOf(id)[0]
			i := slices.IndexFunc(r.b.ready, func(e *endpoint) bool { return e.ID == first })
			r.now += 20 * ms
			end(r, id)
			if n := len(r.b.ready[i].breaker.failures); n != 1 {
				t.Errorf("%d failures of the endpoint, want 1", n)
			}
		})
	}
}

// The removal of a failure leaves the other outcomes in their order, wherever it lies in the ring.
func TestRemoveFailure(t *testing.T) {
	for count := 1; count <= maxOutcomes+7; count++ {
		for _, at := range []int{count, (count + 1) / 2, max(1, count-maxOutcomes+1)} {
			var w outcomeWindow
			for i := 1; i <= count; i++ {
				w.record(time.Duration(i), i != at, float64(i))
			}
			w.removeFailure(time.Duration(at))
			if w.count != min(count, maxOutcomes)-1 || w.successes != w.count {
				t.Fatalf("%d outcomes, failure %d removed: %d outcomes and %d successes are left", count, at, w.count, w.successes)
			}
			for i := 1; i < w.count; i++ {
				if w.at(i).at <= w.at(i-1).at || !w.at(i).success {
					t.Fatalf("%d outcomes, failure %d removed: outcome %d is %+v after %+v", count, at, i, *w.at(i), *w.at(i - 1))
				}
			}
		}
	}
}
