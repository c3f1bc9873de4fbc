package policy

import (
	"testing"
	"time"
)

// Guards against a full endpoint that attracts requests because it always has capacity by the node's own
// count. While the other endpoints were at their limits, such an endpoint got every queued request and
// rejected each.
func TestConsecutiveRejectionsPauseAnEndpoint(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	r.serve(30, 0, 20*ms)
	start, sends := r.now, len(r.h.sends)
	for range 400 { // one request after the other, for 4 s
		r.request(0)
		r.advance(10 * ms)
		for _, s := range r.h.sends[sends:] {
			if r.delivered[s.id] == 0 {
				r.endAttempt(s.id, Rejected, 0)
			}
		}
	}
	pause := time.Duration(r.b.typicalLatency * float64(time.Second))
	if n := len(r.h.sends) - sends; n < 4 || n > 5+int((r.now-start)/(pause<<4)) {
		t.Errorf("a full endpoint got %d attempts in %v with a typical latency of %v, want at least 4 and pauses between them",
			n, r.now-start, pause)
	}
	for n := len(r.h.sends); n == len(r.h.sends); r.advance(10 * ms) {
		r.request(0)
	}
	r.endAttempt(r.h.sends[len(r.h.sends)-1].id, OK, 20*ms)
	if e := r.b.ready[0]; e.consecutiveRejections != 0 || e.pausedUntil != 0 {
		t.Error("an answer did not reset the consecutive rejections and the pause")
	}
}

// Guards against pauses of all endpoints at once while many endpoints occasionally reject a request. Queued
// requests would then be shed although endpoints have capacity.
func TestSingleRejectionPausesNoEndpoint(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	r.serve(30, 0, 20*ms)
	for i, sent := range []bool{true, true, false} { // indexed by the number of consecutive rejections before the request
		before := len(r.h.sends)
		id := r.request(0)
		if (len(r.h.sends) > before) != sent {
			t.Fatalf("after %d consecutive rejections: request sent %v, want %v", i, !sent, sent)
		}
		if sent {
			r.endAttempt(id, Rejected, ms)
		}
	}
}

// Guards against all nodes ejecting an endpoint that has reached its connection limit, as if it were down.
// An endpoint that still answers on its open connections is only full.
func TestRefusedConnectionsAfterAnAnswerAreRejections(t *testing.T) {
	for _, tc := range []struct {
		name         string
		sinceSuccess time.Duration // time from a success to each refused connection; 0 means no recent success
		opens        bool          // whether the breaker opens
	}{
		{"no success", 0, true},
		{"recent success", presumedAliveDuration / 2, false},
		{"earlier success", 2 * presumedAliveDuration, true},
	} {
		r := newRig(t, testSettings(), 3)
		r.serve(60, 0, 20*ms)
		r.advance(2 * presumedAliveDuration)
		e := r.b.subset.members[0]
		q := &request{class: &r.b.classes[0]}
		for range failuresToOpen {
			if tc.sinceSuccess > 0 {
				e.lastSuccessAt = r.now - tc.sinceSuccess
			}
			a := &attempt{endpoint: e, request: q, sentAt: r.now}
			r.b.recordOutcome(r.now, q, a, Outcome{Status: ConnectFailed})
		}
		if (e.breaker.state == breakerOpen) != tc.opens {
			t.Errorf("%s: breaker open %v, want %v", tc.name, e.breaker.state == breakerOpen, tc.opens)
		}
	}
}

// Guards against treating an endpoint that is down as only full. An endpoint that refuses connections soon
// after a success may have reached its connection limit, but if it then answers nothing its breaker must
// open.
func TestRefusedConnectionsOfADeadServer(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.serve(50, 0, 10*ms)
	e := r.b.endpoints[1]
	for n := 0; e.breaker.state == breakerClosed; n++ {
		if n > maxPresumedAliveRejections+failuresToOpen {
			t.Fatalf("%d connections refused up to %v after the last success, want the breaker open", n, r.now-e.lastSuccessAt)
		}
		q := &request{class: &r.b.classes[0], Request: Request{Class: 0}}
		r.b.recordOutcome(r.now, q, &attempt{endpoint: e, request: q, sentAt: r.now}, Outcome{Status: ConnectFailed})
		r.now += 10 * ms
	}
}
