package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/internal/testutil"
)

// A draining server gets no requests. Once no server is left, requests are rejected.
func TestDrain(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	n, d := startReady(t, a, b)
	d.change(t, func() { d.list[0].Lifecycle = "Terminating" })
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("got status %d, want 200", r.status)
		}
	}
	if len(a.Requests) != 0 || len(b.Requests) != 20 {
		t.Errorf("got %d sends to the draining server, %d to the other, want 0 and 20", len(a.Requests), len(b.Requests))
	}
	d.change(t, func() { d.list = d.list[:1] })
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("with no server left: got status %d, want 503", r.status)
	}
}

// An instance whose address changes is another process: requests go to the new address, not on connections to the old one.
func TestServerMoves(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	n, d := startReady(t, a)
	n.do(n.request("read"))
	d.change(t, func() { d.list = []discovery.Instance{instanceAt(b, "s-0")} })
	n.do(n.request("read"))
	if len(a.Requests) != 1 || len(b.Requests) != 1 {
		t.Errorf("got %d sends to the old address, %d to the new one, want 1 each", len(a.Requests), len(b.Requests))
	}
}

// The node becomes ready when the discovery service becomes available, and keeps its list when the service fails later.
func TestDiscoveryFailsAndReturns(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t)
	d.down = true
	n := start(t, testConfig(t, d, nil))
	testutil.Wait(t, d.calls, "a first call")
	testutil.Wait(t, d.calls, "a call after the failed call")
	n.waitReady(http.StatusServiceUnavailable)
	d.set(func() { d.down, d.list = false, []discovery.Instance{instanceAt(b, "s-0")} })
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
	d.set(func() { d.down = true }) // the node keeps its list
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("while discovery is down: got status %d, want 200", a.status)
	}
}

// The discovery service moves more than once, as after SIGHUP. The long poll of the old address ends, and the new address is
// polled for a full update whichever version it has. The node serves and stays ready throughout, also while the new address
// does not respond.
func TestDiscoveryMoves(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	old := newFakeDiscovery(t, instanceAt(a, "s-a"))
	n := start(t, testConfig(t, old, nil))
	n.waitReady(http.StatusOK)
	next := newFakeDiscovery(t, instanceAt(b, "s-b"))
	for len(old.calls) > 0 {
		<-old.calls
	}
	n.node.MoveDiscovery(testutil.RefusingAddr(t)) // an address that refuses connections
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("while discovery refuses connections: got status %d, want 200", r.status)
	}
	n.node.MoveDiscovery(next.Listener.Addr().String())
	if q := testutil.Wait(t, next.calls, "the first call"); q != "" {
		t.Errorf("the first call to the new address has query %q, want none (the full list)", q)
	}
	testutil.Wait(t, next.calls, "the long poll of the new address")
	n.waitReady(http.StatusOK)
	for len(a.Requests) > 0 {
		<-a.Requests
	}
	if r := n.do(n.request("read")); r.status != http.StatusOK || len(a.Requests) > 0 || len(b.Requests) == 0 {
		t.Errorf("got status %d, %d sends to the server of the old list, want 200, 0", r.status, len(a.Requests))
	}
	next.change(t, func() { next.list = nil })
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503: the list of the new address is not followed", r.status)
	}
	n.node.MoveDiscovery(old.Listener.Addr().String())
	for q := range old.calls {
		if q == "" {
			break
		}
	}
	testutil.Wait(t, old.calls, "the long poll of the old address")
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("after the move back: got status %d, want 200", r.status)
	}
}

// The configured list is used while discovery is unavailable.
func TestKnownListServes(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t)
	d.down = true
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["known"] = endpointList{Generation: 7, Full: true, Instances: []discovery.Instance{instanceAt(b, "s-0")}}
	}))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
	if q := testutil.Wait(t, d.calls, "a long poll"); !strings.Contains(q, "after=7") {
		t.Errorf("the long poll has query %q, want after=7", q)
	}
}

// Version 0 is a valid version. After a list with that version the node must make a long poll instead of requesting the full
// list again.
func TestWatchAfterVersionZero(t *testing.T) {
	t.Parallel()
	d := newFakeDiscovery(t, instanceAt(testutil.NewBackend(t, testutil.OK), "s-0"))
	cfg := testConfig(t, d, nil)
	cfg.pollTiming = discovery.PushedTiming(cfg.DrainGrace)
	cfg.pollTiming.OverdueAfter = testutil.WaitTimeout // a slow first call must not be hedged
	cfg.pollTiming.AbandonAfter = 2 * testutil.WaitTimeout
	start(t, cfg).waitReady(http.StatusOK)
	testutil.Wait(t, d.calls, "the first call")
	if q := testutil.Wait(t, d.calls, "the long poll"); !strings.Contains(q, "after=0") {
		t.Errorf("the second call has query %q, want after=0", q)
	}
}

// A node that polls a shared discovery service at the policy's request gets its list and serves.
func TestPolledList(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t, instanceAt(b, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["settings"] = jsonText(strings.Replace(settingsText, "pushed", "on_request", 1))
	}))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
}

type jsonText string

// MarshalJSON implements json.Marshaler.
func (j jsonText) MarshalJSON() ([]byte, error) { return []byte(j), nil }

// Responses of the discovery service may be malformed. The node polls again and applies the entries that it can use.
func TestBadListsAreSurvived(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	good := instanceAt(b, "s-0")
	lists := []string{
		"what?",
		`{"generation":"x"}`,
		`{"generation":3,"instances":[{"instanceId":5}]}`,
		`{"generation":4,"reset":true,"instances":[{},{"instanceId":"s-1","lifecycle":"Ready"},` +
			`{"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Novel"},` +
			`{"instanceId":"s-0","hostPort":"` + good.HostPort + `","zone":"far","cell":-1,"lifecycle":"Ready",` +
			`"weight":-3,"startedAtMs":1.5e12,"novel":[]}]}`, // an incomplete list, after which a full update is requested
		`{"generation":5,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"Ready"},` +
			`{"instanceId":"s-0","hostPort":"` + good.HostPort + `","zone":"far","lifecycle":"Ready","novel":[]}]}`,
	}
	var polls atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// Each later poll gets the last list too, since the node may have abandoned the poll that got it first.
		poll := min(int(polls.Add(1)), len(lists))
		io.WriteString(w, lists[poll-1])
	}))
	t.Cleanup(d.Close)
	n := start(t, testConfig(t, &fakeDiscovery{Server: d}, nil))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
}

// A server that started before this node may still be warming up. Its start time must not be 0 on the node's clock, which
// stands for long ago, and must be the same for each list, since another start time would mean a restart.
func TestEndpointStartTimes(t *testing.T) {
	t.Parallel()
	clock := engine.NewClock()
	d := newEndpointWatcher(&Config{}, clock, nil, testutil.Log(t))
	at := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	first := d.clockTime(at)
	if age := clock.Now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testutil.WaitTimeout {
		t.Errorf("a start 3 s ago is %v ago on the node's clock, want 3 s", age)
	}
	if again := d.clockTime(at); again != first {
		t.Errorf("the same start time was converted to %v and then to %v", first, again)
	}
	if d.clockTime(0) != 0 {
		t.Error("a start at 0 Unix milliseconds is not 0 on the node's clock")
	}
}
