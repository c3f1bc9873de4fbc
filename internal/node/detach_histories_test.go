package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// detachHistory has an endpoint list with administrative state and a policy that follows both, on a clock that the test
// advances.
type detachHistory struct {
	*rapid.T
	endpoints *endpointWatcher
	balancer  *policy.Balancer
	now       time.Duration
	lastID    policy.RequestID
	attempts  map[policy.RequestID]int // number of attempts sent so far
	inFlight  []policy.Outcome
	names     map[policy.EndpointID]string
}

func (h *detachHistory) UpdateAddresses(bool, []h1client.Endpoint) {}
func (h *detachHistory) UpdateEndpoints(kind policy.UpdateKind, entries []policy.Endpoint) bool {
	h.balancer.UpdateEndpoints(h.now, kind, entries)
	return true
}
func (h *detachHistory) Send(id policy.RequestID, s policy.EndpointID, _ time.Duration) {
	if h.endpoints.admin.Detached(h.names[s]) {
		h.Fatalf("a request was sent to %s, which is detached", h.names[s])
	}
	h.inFlight = append(h.inFlight, policy.Outcome{ID: id, Attempt: h.attempts[id], Endpoint: s})
	h.attempts[id]++
}
func (h *detachHistory) Cancel(policy.RequestID, int)           {}
func (h *detachHistory) Reject(policy.RequestID, time.Duration) {}
func (h *detachHistory) Fail(policy.RequestID)                  {}
func (h *detachHistory) SetTimer(time.Duration, uint64)         {}
func (h *detachHistory) RequestPoll()                           {}

// request starts a request, and then ends all attempts in flight with drawn statuses, so that failures lead to retries.
func (h *detachHistory) request() {
	h.lastID++
	h.balancer.Request(h.now, policy.Request{ID: h.lastID, TimeRemaining: 2 * time.Second})
	h.now += 10 * time.Millisecond
	ended := h.inFlight
	h.inFlight = nil
	for _, o := range ended {
		o.Latency = 10 * time.Millisecond
		o.Status = rapid.SampledFrom([]policy.Status{
			policy.OK, policy.ErrorResponse, policy.Reset, policy.Rejected, policy.ConnectFailed,
		}).Draw(h.T, "status")
		h.balancer.Outcome(h.now, o)
	}
	h.balancer.Timer(h.now, 0)
}

// In drawn sequences of administrative changes, lists, server restarts, requests and failures, no request is sent to a
// detached instance, whichever attempt of the request is in flight when the instance is detached.
func TestDetachHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &detachHistory{T: t, now: 2 * time.Hour, attempts: map[policy.RequestID]int{}, names: map[policy.EndpointID]string{}}
		h.endpoints = &endpointWatcher{
			sink: h, zoneIndex: map[string]int{}, source: &discoverySource{}, initialized: make(chan struct{}),
		}
		settings := policy.DefaultSettings()
		settings.Classes = []policy.Class{{
			Deadline: 2 * time.Second, LatencyObjective: time.Second, PriorityWeight: 1, Idempotency: policy.Idempotent,
		}}
		settings.Limits.MaxAttempts = 3
		var err error
		if h.balancer, err = policy.New(settings, rapid.Uint64().Draw(t, "seed"), h); err != nil {
			t.Fatal(err)
		}
		started := map[int]float64{0: 0, 1: 0, 2: 0, 3: 0}
		publishList := func() {
			a := &discovery.Response{Full: true}
			for i := range 4 {
				if at, listed := started[i]; listed {
					l := discovery.Instance{
						InstanceID: fmt.Sprint("s-", i), HostPort: "h:1", Lifecycle: "Ready", Weight: 1, StartedAtMs: at,
					}
					h.names[l.ID()] = l.InstanceID
					a.Instances = append(a.Instances, l)
				}
			}
			h.endpoints.applyResponse(h.endpoints.source, a)
		}
		publishList()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "server")
			change := adminstate.Change{
				Operation: adminstate.Detach, InstanceID: fmt.Sprint("s-", i), RequestedAtMs: time.Now().UnixMilli(),
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				h.endpoints.applyChange(change)
			case 1:
				change.Operation = adminstate.Attach
				h.endpoints.applyChange(change)
			case 2:
				delete(started, i)
				publishList()
			case 3:
				started[i] = float64(time.Now().UnixMilli())
				publishList()
			default:
				h.request()
			}
		}
	})
}
