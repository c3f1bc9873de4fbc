package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost records the actions of one Balancer.
type fakeHost struct {
	sends    []sentAttempt
	cancels  int
	rejected map[RequestID]time.Duration
	failed   map[RequestID]bool
	timers   []timer
	polls    int
	log      []string
}

// sentAttempt is one call of Host.Send.
type sentAttempt struct {
	id       RequestID
	endpoint EndpointID
}

// timer is one call of Host.SetTimer.
type timer struct {
	at    time.Duration
	token uint64
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	h.logf("send %d %d %v", id, endpoint, timeout)
	h.sends = append(h.sends, sentAttempt{id, endpoint})
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.logf("cancel %d %d", id, attempt)
	h.cancels++
}

func (h *fakeHost) Reject(id RequestID, after time.Duration) {
	h.logf("reject %d %v", id, after)
	h.rejected[id] = after
}

func (h *fakeHost) Fail(id RequestID) {
	h.logf("fail %d", id)
	h.failed[id] = true
}

func (h *fakeHost) SetTimer(at time.Duration, token uint64) {
	h.logf("timer %v %d", at, token)
	h.timers = append(h.timers, timer{at, token})
}

func (h *fakeHost) RequestPoll() {
	h.logf("poll")
	h.polls++
}

// testSettings returns settings with three classes: idempotent, idempotent by key and not idempotent, in
// this order.
func testSettings() Settings {
	s := DefaultSettings()
	class := Class{Deadline: 2 * time.Second, LatencyObjective: 800 * ms, PriorityWeight: 1}
	keyed, nonIdempotent := class, class
	keyed.Idempotency, keyed.DedupScope, keyed.DedupWindow = IdempotentByKey, ScopeCell, time.Second
	nonIdempotent.Idempotency = NotIdempotent
	s.Classes = []Class{class, keyed, nonIdempotent}
	s.Limits = Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true, MaxRetryAfter: time.Second}
	s.Rules = Rules{
		SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second,
		OverloadMultiple: 3, OverloadDuration: time.Second,
		MaxPollInterval: 10 * time.Second,
	}
	return s
}

// rig drives a Balancer with a fakeHost and controls its clock.
type rig struct {
	t         *testing.T
	b         *Balancer
	h         *fakeHost
	now       time.Duration
	lastID    RequestID
	delivered map[RequestID]int // number of outcomes delivered for each request
}

// newRig returns a rig whose Balancer has a cached list of the given number of ready endpoints.
func newRig(t *testing.T, set Settings, endpoints int) *rig {
	t.Helper()
	h := newFakeHost()
	b, err := New(set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, h: h, now: time.Hour, delivered: map[RequestID]int{}}
	r.update(CachedUpdate, ready(1, endpoints)...)
	return r
}

// ready returns entries for the ready endpoints with the ids first to last, two in each cell and five in
// each zone.
func ready(first, last int) []Endpoint {
	var entries []Endpoint
	for i := first; i <= last; i++ {
		entries = append(entries, Endpoint{
			ID: EndpointID(i), Cell: i / 2, Zone: i / 5, State: Ready, Weight: 1,
		})
	}
	return entries
}

// update delivers an endpoint update.
func (r *rig) update(kind UpdateKind, entries ...Endpoint) { r.b.UpdateEndpoints(r.now, kind, entries) }

// request delivers a new request of a class, with 2 s remaining, and returns its id.
func (r *rig) request(class int) RequestID {
	r.lastID++
	r.b.Request(r.now, Request{ID: r.lastID, Class: class, TimeRemaining: 2 * time.Second})
	return r.lastID
}

// sendsOf returns the endpoints that a request was sent to, in the order of the sends.
func (r *rig) sendsOf(id RequestID) []EndpointID {
	var endpoints []EndpointID
	for _, s := range r.h.sends {
		if s.id == id {
			endpoints = append(endpoints, s.endpoint)
		}
	}
	return endpoints
}

// endAttempt delivers the outcome of the request's earliest attempt that has none yet.
func (r *rig) endAttempt(id RequestID, status Status, latency time.Duration) {
	i := r.delivered[id]
	r.delivered[id]++
	r.b.Outcome(r.now, Outcome{ID: id, Attempt: i, Endpoint: r.sendsOf(id)[i], Status: status, Latency: latency,
		RequestDone: status == OK})
}

// advance moves the clock by d and fires the timers that expire meanwhile.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; ; {
		due := -1
		for i, t := range r.h.timers {
			if t.at <= end && (due < 0 || t.at < r.h.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			r.now = end
			return
		}
		t := r.h.timers[due]
		r.h.timers = append(r.h.timers[:due], r.h.timers[due+1:]...)
		r.now = max(r.now, t.at)
		r.b.Timer(r.now, t.token)
	}
}

// serve delivers n requests of a class, one after the other, and answers each with the given latency.
func (r *rig) serve(n, class int, latency time.Duration) {
	for range n {
		id := r.request(class)
		r.advance(latency)
		if r.delivered[id] < len(r.sendsOf(id)) {
			r.endAttempt(id, OK, latency)
		}
	}
}

// breakers returns the number of ready endpoints for each state of their breakers.
func (r *rig) breakers() (count [3]int) {
	for _, e := range r.b.ready {
		count[e.breaker.state]++
	}
	return count
}
