package policy

import (
	"math"
	"testing"
	"time"
)

// newPredecessor returns a rig that has used its four endpoints. Endpoint 1 has failed every attempt, and
// its breaker stays open for another 6 s.
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

// Checks how much of a snapshot counts at several ages. Outcomes expire by their own age, the time until
// the breaker is half-open continues, and the weight of the concurrency limit halves with each
// restoreHalfLife. Nothing is restored for an endpoint that has restarted since or of which the successor
// has outcomes. A successor without a snapshot sends requests to the failing endpoint.
func TestRestore(t *testing.T) {
	predecessor := newPredecessor(t)
	snapshot := predecessor.b.Snapshot(predecessor.now)
	snapshot.Load.ConcurrencyLimit = 20
	for _, c := range []struct {
		name  string
		age   time.Duration
		limit float64
		open  time.Duration // time until the breaker of the failing endpoint is half-open
		count bool          // whether the outcomes of the other endpoints count
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
				t.Errorf("concurrency limit %v, want %v", successor.b.concurrency.limit, c.limit)
			}
			endpoints := successor.b.endpoints
			state, halfOpenIn := endpoints[1].breaker.state, endpoints[1].breaker.halfOpenAt-successor.now
			if state == breakerClosed || halfOpenIn != c.open || (state == breakerHalfOpen) != (c.open == 0) {
				t.Errorf("breaker %v, half-open in %v; want open or half-open, half-open in %v", state, halfOpenIn, c.open)
			}
			if got := endpoints[2].outcomes.count > 0; got != c.count {
				t.Errorf("outcomes count: %v, want %v", got, c.count)
			}
			if endpoints[3].outcomes.count > 0 || endpoints[4].outcomes.count != 1 {
				t.Errorf("%d outcomes of a restarted endpoint count, want 0; %d of an endpoint that the successor has used, want 1",
					endpoints[3].outcomes.count, endpoints[4].outcomes.count)
			}
			next := successor.b.Snapshot(successor.now)
			if c.age == 0 && (math.Abs(next.Load.TypicalLatency-snapshot.Load.TypicalLatency) > 1e-9 ||
				next.Endpoints[1].RecentOutcomes[0].Successes != snapshot.Endpoints[1].RecentOutcomes[0].Successes) {
				t.Errorf("the successor's snapshot is %+v, want the latency and outcomes of the predecessor's, %+v", next, snapshot)
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
		t.Errorf("%d sends to the failing endpoint after Restore, want 0; %d without a snapshot, want at least 1", h, b)
	}
}

// Checks that the learned state of classes and of the load counts by the share of the successor's endpoints
// that are in the snapshot.
func TestRestoreFromOtherMachines(t *testing.T) {
	predecessor := newPredecessor(t) // uses endpoints 1 to 4
	snapshot := predecessor.b.Snapshot(predecessor.now)
	snapshot.Load.ConcurrencyLimit, snapshot.Classes[0].UnloadedLatency, snapshot.Classes[0].UnloadedSamples = 21, 4, 100
	for _, c := range []struct {
		first, last int     // ids of the successor's endpoints
		share       float64 // share of them that are in the snapshot
	}{{1, 4, 1}, {3, 6, 0.5}, {11, 14, 0}} {
		successor := newRig(t, testSettings(), 0)
		successor.now = predecessor.now
		successor.update(FullUpdate, ready(c.first, c.last)...)
		class, limit := &successor.b.classes[0], successor.b.concurrency.limit
		before := class.unloadedLatency
		successor.b.Restore(successor.now, snapshot, 0)
		if want := limit + (21-limit)*c.share; math.Abs(successor.b.concurrency.limit-want) > 1e-9 {
			t.Errorf("endpoints %d to %d: concurrency limit %v, want %v", c.first, c.last, successor.b.concurrency.limit, want)
		}
		want := before + (4-before)*c.share
		if math.Abs(class.unloadedLatency-want) > 1e-9 || class.unloadedSamples != max(1, 100*c.share) {
			t.Errorf("endpoints %d to %d: unloaded latency %v from %v samples, want %v from 100 times the share, at least 1",
				c.first, c.last, class.unloadedLatency, class.unloadedSamples, want)
		}
	}
}
