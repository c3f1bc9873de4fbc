package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a sound answer that is given up for another one when its client's time ends, and against a broken one that is
// passed on: of drawn attempts, the one that has given most is passed on, of those in flight that have shown life.
func TestAnswerDueChoosesTheOneThatGaveMost(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := testSettings()
		s.Limits.AllowHedging, s.Limits.MaxAttempts = true, 4
		r := newRig(t, s, 6)
		r.serve(100, 0, 20*ms)
		id := RequestID(1 << 30)
		r.b.Request(r.now, Request{ID: id, TimeRemaining: 3 * time.Second})
		for len(r.sendsOf(id)) < 4 && random.IntN(4) > 0 {
			r.now += 200 * ms
			r.stall(id, 0)
			if last := len(r.sendsOf(id)) - 1; last > 0 { // so that the next pause is that of the only attempt in flight
				r.b.Outcome(r.now, Outcome{ID: id, Attempt: last, Status: ErrorResponse})
			}
		}
		request := r.b.requests[id]
		progress := make([]AnswerProgress, len(request.attempts))
		best := int64(0)
		for i := range progress {
			progress[i] = AnswerProgress{
				Bytes: random.Int64N(4) * 1000, LastAt: r.now - time.Duration(random.Int64N(int64(2*maxSilence))),
			}
			if request.attempts[i].inFlight && r.now-progress[i].LastAt <= maxSilence {
				best = max(best, progress[i].Bytes)
			}
		}
		index, passOn := r.b.AnswerDue(r.now, id, progress)
		if passOn != (best > 0) {
			t.Fatalf("seed %d: passed on %v of %+v, want %v", seed, passOn, progress, best > 0)
		}
		if passOn && (progress[index].Bytes != best || !request.attempts[index].inFlight) {
			t.Fatalf("seed %d: attempt %d of %+v is passed on, want one in flight that has given %d bytes", seed, index, progress, best)
		}
	}
}

// Guards against a sound answer that pauses and is replaced although it may be passed on, and against a broken one that is kept:
// the attempt is replaced once it has been silent for maxSilence, if another one can still be answered then.
func TestAnswerThatShowsLifeIsNotReplaced(t *testing.T) {
	for _, c := range []struct {
		name        string
		remaining   time.Duration
		bytes       int64
		wantReplace bool
	}{
		{"begun, and its silence is short at the deadline", 900 * ms, 1000, false},
		{"begun, and silent for long before the deadline", 3 * time.Second, 1000, true},
		{"no byte that may be passed on", 900 * ms, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Limits.AllowHedging = false
			s.Classes[0].LateWeight, s.Classes[0].Deadline = 1, 5*time.Second
			r := newRig(t, s, 6)
			r.serve(100, 0, 20*ms)
			id := RequestID(1 << 30)
			r.b.Request(r.now, Request{ID: id, TimeRemaining: c.remaining})
			deadline := r.now + c.remaining
			r.now += 20 * ms
			at, replace := r.b.AnswerStalled(r.now, id, 0, AnswerProgress{Bytes: c.bytes, LastAt: r.now})
			if replace != c.wantReplace {
				t.Fatalf("replace %v, want %v", replace, c.wantReplace)
			}
			if left := deadline - at; replace && (left < 20*ms || left > 200*ms) {
				t.Errorf("the attempt is replaced with %v left, want time for an answer that takes 20 ms and not much more", left)
			}
		})
	}
}
