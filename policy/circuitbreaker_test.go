package policy

import (
	"strings"
	"testing"
	"time"
)

func TestBreakerOpensTriesOneRequestAndCloses(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	bad := r.b.ready[0]
	for range failuresToOpen {
		r.b.recordFailure(r.now, &attempt{endpoint: bad}, failureReported)
	}
	if bad.breaker.state != breakerOpen {
		t.Fatalf("breaker %v after %d failures, want open", bad.breaker.state, failuresToOpen)
	}
	r.serve(20, 0, 50*ms)
	for _, s := range r.h.sends {
		if s.endpoint == bad.ID {
			t.Fatal("an ejected endpoint was sent a request before its breaker turned half-open")
		}
	}
	r.advance(bad.breaker.halfOpenAt - r.now)
	trial := r.request(0)
	if got := r.sendsOf(trial); len(got) != 1 || got[0] != bad.ID {
		t.Fatalf("trial request was sent to %v, want only the half-open endpoint %d", got, bad.ID)
	}
	if other := r.sendsOf(r.request(0)); len(other) != 1 || other[0] == bad.ID {
		t.Fatalf("second request was sent to %v while the trial request is in flight, want one other endpoint", other)
	}
	before := bad.breaker.openDuration
	r.endAttempt(trial, ErrorResponse, 5*ms)
	if bad.breaker.state != breakerOpen || bad.breaker.openDuration != 2*before {
		t.Fatalf("after a failed trial request: breaker %v for %v, want open for %v",
			bad.breaker.state, bad.breaker.openDuration, 2*before)
	}
	r.advance(bad.breaker.halfOpenAt - r.now)
	trial = r.request(0)
	r.endAttempt(trial, OK, 50*ms)
	if bad.breaker.state != breakerClosed {
		t.Fatalf("after a successful trial request: breaker %v, want closed", bad.breaker.state)
	}
}

func TestFailuresOpenOnlyInARowWithinTheWindow(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	e := r.b.ready[0]
	for range failuresToOpen - 1 {
		r.b.recordFailure(r.now, &attempt{endpoint: e}, failureReported)
	}
	e.recordSuccess(r.now, nil)
	r.b.recordFailure(r.now, &attempt{endpoint: e}, failureReported)
	if e.breaker.state != breakerClosed {
		t.Fatal("failures with a success between them opened the breaker")
	}
	for range 2 * failuresToOpen {
		r.now += failureWindow / 3
		r.b.recordFailure(r.now, &attempt{endpoint: e}, failureReported)
	}
	if e.breaker.state != breakerClosed {
		t.Fatal("failures that did not fall within the failure window opened the breaker")
	}
}

// Guards against a slowdown of all endpoints that opens every breaker, so that all requests are rejected.
func TestSharedSlownessLeavesHalfOfTheFleetClosed(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	r.b.subset.arrivals.add(r.now, 100) // enough traffic for a subset of all endpoints
	r.b.refresh(r.now)
	for _, e := range r.b.ready {
		for range 2 * failuresToOpen {
			r.b.recordFailure(r.now, &attempt{endpoint: e}, failureBySlowness)
		}
	}
	if got := r.breakers(); got[breakerOpen] != 3 {
		t.Fatalf("%d of 6 breakers opened by slowness, want 3", got[breakerOpen])
	}
}

// Guards against a breaker that never closes because no request is idempotent. A request that is not
// idempotent becomes the trial request only after the breaker has been half-open for its open duration.
func TestNonIdempotentRequestIsTheTrialAsALastResort(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	e := r.b.ready[0]
	for range failuresToOpen {
		r.b.recordFailure(r.now, &attempt{endpoint: e}, failureReported)
	}
	r.now = e.breaker.halfOpenAt + ms
	if id := r.request(2); len(r.sendsOf(id)) != 0 {
		t.Fatal("a request that is not idempotent was the trial request as soon as the breaker turned half-open")
	}
	r.advance(e.breaker.openDuration + ms)
	if r.request(2); len(r.h.sends) != 1 {
		t.Fatal("a request that is not idempotent was not the trial request after the open duration had passed again")
	}
}

// Guards against breakers that open by chance while attempts fail at all endpoints alike, for example
// because connections break. Runs of failures then say nothing about their endpoint, and an open breaker
// removes capacity that still answers requests. An endpoint with a low baseline failure rate is ejected
// after the fifth failure.
func TestBaselineFailuresOpenNoBreaker(t *testing.T) {
	recordOutcomes := func(b *Balancer, e *endpoint, now time.Duration, pattern string) {
		for _, c := range pattern {
			a := &attempt{endpoint: e}
			if c == '+' {
				e.outcomes.record(now, true, 1)
				e.recordSuccess(now, a)
			} else {
				e.outcomes.record(now, false, 1)
				b.recordFailure(now, a, failureReported)
			}
		}
		b.summarizeOutcomes(now)
	}
	r := newRig(t, testSettings(), 4)
	r.b.refresh(r.now)
	unreliable, reliable := r.b.endpoints[1], r.b.endpoints[2]
	recordOutcomes(r.b, unreliable, r.now, strings.Repeat("++-", 20)+"+-----")
	if unreliable.breaker.state != breakerClosed {
		t.Error("a run of failures within the baseline failure rate opened the breaker")
	}
	recordOutcomes(r.b, unreliable, r.now, strings.Repeat("-", maxBaselineRun-5))
	if unreliable.breaker.state != breakerOpen {
		t.Error("the breaker of an endpoint that no longer answers stayed closed")
	}
	recordOutcomes(r.b, reliable, r.now, strings.Repeat("+", 60)+"-----")
	if reliable.breaker.state != breakerOpen {
		t.Error("five consecutive failures of an endpoint with a low baseline failure rate left its breaker closed")
	}
}

// Guards against endpoints whose answers are many times slower than usual but that keep all their traffic.
func TestSlowAnswersOpenABreakerWithThinTraffic(t *testing.T) {
	set := testSettings()
	set.NodeCount = 80
	r := newRig(t, set, 6)
	r.b.refresh(r.now)
	e := r.b.subset.members[0]
	q := &request{class: &r.b.classes[0]}
	for range failuresToOpen {
		a := &attempt{endpoint: e, request: q, sentAt: r.now}
		slow := time.Duration(2 * slowAnswerFactor * r.b.unloadedLatency(q) * float64(time.Second))
		r.b.recordOutcome(r.now, q, a, Outcome{Status: OK, Latency: slow})
	}
	if e.breaker.state != breakerOpen {
		t.Fatal("the breaker of an endpoint whose answers take ten times the unloaded latency stayed closed")
	}
}
