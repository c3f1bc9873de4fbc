package policy

import (
	"math"
	"testing"
	"time"
)

// newPredecessor has used its endpoints, of which the first fails every attempt and has an open breaker with 6 s
// to go.
func newPredecessor(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, testSettings(), 4)
	for range 400 {
		id := r.request(0)
		r.advance(10 * ms)
		for r.delivered[id] < len(r.sendsOf(id)) {
			status := OK
			if r.sendsOf(id)[r.delivered[id]] == 1 {
				status = ErrorResponse
			}
			r.endAttempt(id, status, 10*ms)
		}
	}
	bad := r.b.endpoints[1]
	bad.breaker.state, bad.breaker.openDuration, bad.breaker.halfOpenAt = breakerOpen, 8*time.Second, r.now+6*time.Second
	return r
}

// What of a snapshot counts by its age: outcomes by their own age, the breaker's time goes on, the limit by
// half in restoreHalfLife; nothing of an endpoint that has restarted since, nor where the successor has
// outcomes of its own. A successor without a snapshot knows nothing.
func TestRestore(t *testing.T) {
	predecessor := newPredecessor(t)
	snapshot := predecessor.b.Snapshot(predecessor.now)
	snapshot.Load.ConcurrencyLimit = 20
	for _, c := range []struct {
		name  string
		age   time.Duration
		limit float64
		open  time.Duration // until the bad endpoint's trial
		count bool          // outcomes of the others count
	}{
		{"at once", 0, 20, 6 * time.Second, true},
		{"some seconds old", restoreHalfLife / 2, 1 + 19*math.Sqrt(0.5), time.Second, true},
		{"as old as outcomes last", restoreHalfLife, 1 + 19/2., 0, false},
		{"older", 2 * restoreHalfLife, 1 + 19/4., 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			successor := newRig(t, testSettings(), 4)
			successor.now = predecessor.now
			successor.update(DeltaUpdate, Endpoint{ID: 3, State: Ready, Weight: 1, StartedAt: successor.now})
			successor.b.endpoints[4].outcomes.record(successor.now, true, 1)
			successor.b.Restore(successor.now, snapshot, c.age)
			successor.b.refresh(successor.now)
			if math.Abs(successor.b.concurrency.limit-c.limit) > 1e-9 {
				t.Errorf("limit %v, want %v", successor.b.concurrency.limit, c.limit)
			}
			endpoints := successor.b.endpoints
			state, halfOpenIn := endpoints[1].breaker.state, endpoints[1].breaker.halfOpenAt-successor.now
			if state == breakerClosed || halfOpenIn != c.open || (state == breakerHalfOpen) != (c.open == 0) {
				t.Errorf("breaker %v, a trial in %v, want in %v", state, halfOpenIn, c.open)
			}
			if got := endpoints[2].outcomes.count > 0; got != c.count {
				t.Errorf("outcomes count: %v", got)
			}
			if endpoints[3].outcomes.count > 0 || endpoints[4].outcomes.count != 1 {
				t.Errorf("%d outcomes of a former process count, %d of an endpoint that the successor has used",
					endpoints[3].outcomes.count, endpoints[4].outcomes.count)
			}
			next := successor.b.Snapshot(successor.now)
			if c.age == 0 && (math.Abs(next.Load.TypicalLatency-snapshot.Load.TypicalLatency) > 1e-9 ||
				next.Endpoints[1].RecentOutcomes[0].Successes != snapshot.Endpoints[1].RecentOutcomes[0].Successes) {
				t.Errorf("the successor's snapshot is %+v, the predecessor's was %+v", next, snapshot)
			}
		})
	}
	sentToBad := func(h *rig) (n int) {
		h.now = predecessor.now
		h.serve(40, 0, 10*ms)
		for _, s := range h.h.sends {
			if s.endpoint == 1 {
				n++
			}
		}
		return n
	}
	withoutSnapshot, successor := newRig(t, testSettings(), 4), newRig(t, testSettings(), 4)
	successor.b.Restore(predecessor.now, snapshot, 0)
	if b, h := sentToBad(withoutSnapshot), sentToBad(successor); h > 0 || b == 0 {
		t.Errorf("%d sends to the bad endpoint, %d without a snapshot", h, b)
	}
}

// What was learnt of classes and of the load counts by the share of the present endpoints that it was learnt
// on.
func TestRestoreFromOtherMachines(t *testing.T) {
	predecessor := newPredecessor(t) // of endpoints 1 to 4
	snapshot := predecessor.b.Snapshot(predecessor.now)
	snapshot.Load.ConcurrencyLimit, snapshot.Classes[0].UnloadedLatency, snapshot.Classes[0].UnloadedSamples = 21, 4, 100
	for _, c := range []struct {
		first, last int // endpoints of the successor
		share       float64
	}{{1, 4, 1}, {3, 6, 0.5}, {11, 14, 0}} {
		successor := newRig(t, testSettings(), 0)
		successor.now = predecessor.now
		successor.update(FullUpdate, ready(c.first, c.last)...)
		class, limit := &successor.b.classes[0], successor.b.concurrency.limit
		before := class.unloadedLatency
		successor.b.Restore(successor.now, snapshot, 0)
		if want := limit + (21-limit)*c.share; math.Abs(successor.b.concurrency.limit-want) > 1e-9 {
			t.Errorf("endpoints %d to %d: limit %v, want %v", c.first, c.last, successor.b.concurrency.limit, want)
		}
		want := before + (4-before)*c.share
		if math.Abs(class.unloadedLatency-want) > 1e-9 || class.unloadedSamples != max(1, 100*c.share) {
			t.Errorf("endpoints %d to %d: an unloaded request takes %v by %v answers, want %v",
				c.first, c.last, class.unloadedLatency, class.unloadedSamples, want)
		}
	}
}
