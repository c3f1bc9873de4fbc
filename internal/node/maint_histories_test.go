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

// history is discovery with what operators have asked for, before a module of its own, on a clock of
// the test's.
type history struct {
	*rapid.T
	d     *endpointWatcher
	b     *policy.Balancer
	now   time.Duration
	id    policy.RequestID
	tries map[policy.RequestID]int
	sends []policy.Outcome
	names map[policy.EndpointID]string
}

func (h *history) Servers(bool, []h1client.Server) {}
func (h *history) UpdateEndpoints(kind policy.UpdateKind, entries []policy.Endpoint) bool {
	h.b.UpdateEndpoints(h.now, kind, entries)
	return true
}
func (h *history) Send(id policy.RequestID, s policy.EndpointID, _ time.Duration) {
	if h.d.admin.Out(h.names[s]) {
		h.Fatalf("a request goes to %s, which is out", h.names[s])
	}
	h.sends = append(h.sends, policy.Outcome{ID: id, Attempt: h.tries[id], Endpoint: s})
	h.tries[id]++
}
func (h *history) Cancel(policy.RequestID, int)           {}
func (h *history) Reject(policy.RequestID, time.Duration) {}
func (h *history) Fail(policy.RequestID)                  {}
func (h *history) SetTimer(time.Duration, uint64)         {}
func (h *history) WatchEndpoints()                        {}

// ask takes a request, and has all that is out answered as drawn; failures lead to further attempts.
func (h *history) ask() {
	h.id++
	h.b.Request(h.now, policy.Request{ID: h.id, TimeRemaining: 2 * time.Second})
	h.now += 10 * time.Millisecond
	sends := h.sends
	h.sends = nil
	for _, o := range sends {
		o.Latency = 10 * time.Millisecond
		o.Status = rapid.SampledFrom([]policy.Status{policy.OK, policy.ErrorResponse, policy.Reset, policy.Rejected, policy.ConnectFailed}).Draw(h.T, "status")
		h.b.Outcome(h.now, o)
	}
	h.b.Timer(h.now, 0)
}

// Drawn histories of calls, lists, restarts, requests and failures: nothing goes to a server that is
// out, at whatever point of its attempts the call comes; one that is back on the list is sent to again.
func TestDetachHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{T: t, now: 2 * time.Hour, tries: map[policy.RequestID]int{}, names: map[policy.EndpointID]string{}}
		h.d = &endpointWatcher{sink: h, zoneIndex: map[string]int{}, source: &discoverySource{}, initialized: make(chan struct{})}
		set := policy.Defaults()
		set.Classes = []policy.Class{{Deadline: 2 * time.Second, LatencyObjective: time.Second, PriorityWeight: 1, Idempotency: policy.Idempotent}}
		set.Limits.MaxAttempts = 3
		var err error
		if h.b, err = policy.New(set, rapid.Uint64().Draw(t, "seed"), h); err != nil {
			t.Fatal(err)
		}
		started := map[int]float64{0: 0, 1: 0, 2: 0, 3: 0}
		lists := func() {
			a := &discovery.Response{Full: true}
			for i := range 4 {
				if at, listed := started[i]; listed {
					l := discovery.Instance{InstanceID: fmt.Sprint("s-", i), HostPort: "h:1", Lifecycle: "Ready", Weight: 1, StartedAtMs: at}
					h.names[l.ID()] = l.InstanceID
					a.Instances = append(a.Instances, l)
				}
			}
			h.d.applyResponse(h.d.source, a)
		}
		lists()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "server")
			call := adminstate.Change{Op: adminstate.Detach, Server: fmt.Sprint("s-", i), AtMs: time.Now().UnixMilli()}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				h.d.applyChange(call)
			case 1:
				call.Op = adminstate.Attach
				h.d.applyChange(call)
			case 2:
				delete(started, i)
				lists()
			case 3:
				started[i] = float64(time.Now().UnixMilli())
				lists()
			default:
				h.ask()
			}
		}
	})
}
