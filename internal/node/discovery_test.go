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

func TestDrain(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	n, d := startReady(t, a, b)
	d.change(t, func() { d.list[0].Lifecycle = "Terminating" })
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
	if len(a.Requests) != 0 || len(b.Requests) != 20 {
		t.Errorf("%d sends to the draining server, %d to the other", len(a.Requests), len(b.Requests))
	}
	d.change(t, func() { d.list = d.list[:1] })
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d with no server left", r.status)
	}
}

// A server with another address is another process: connections to the old one are closed.
func TestServerMoves(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	n, d := startReady(t, a)
	n.do(n.request("read"))
	d.change(t, func() { d.list = []discovery.Instance{instanceAt(b, "s-0")} })
	n.do(n.request("read"))
	if len(a.Requests) != 1 || len(b.Requests) != 1 {
		t.Errorf("%d sends to the old address, %d to the new one", len(a.Requests), len(b.Requests))
	}
}

func TestDiscoveryFailsAndReturns(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t)
	d.down = true
	n := start(t, testConfig(t, d, nil))
	testutil.Wait(t, d.calls, "a first call")
	testutil.Wait(t, d.calls, "a call after the failed one")
	n.waitReady(http.StatusServiceUnavailable)
	d.set(func() { d.down, d.list = false, []discovery.Instance{instanceAt(b, "s-0")} })
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
	d.set(func() { d.down = true }) // the list stays
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d while discovery is down", a.status)
	}
}

// Discovery moves, as after SIGHUP, more than once: the old watch ends, the new address
// is polled for a full update, whatever its versions, and the node serves and stays
// ready throughout, also while the new address doesn't answer.
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
	n.node.MoveDiscovery(testutil.RefusingAddr(t)) // nothing listens there yet
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("status %d while discovery is away", r.status)
	}
	n.node.MoveDiscovery(next.Listener.Addr().String())
	if q := testutil.Wait(t, next.calls, "the first call"); q != "" {
		t.Errorf("the new place is asked for %q", q)
	}
	testutil.Wait(t, next.calls, "the watch")
	n.waitReady(http.StatusOK)
	for len(a.Requests) > 0 {
		<-a.Requests
	}
	if r := n.do(n.request("read")); r.status != http.StatusOK || len(a.Requests) > 0 || len(b.Requests) == 0 {
		t.Errorf("status %d; %d sends to the server of the old list", r.status, len(a.Requests))
	}
	next.change(t, func() { next.list = nil })
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d: the new place is not watched", r.status)
	}
	n.node.MoveDiscovery(old.Listener.Addr().String())
	for q := range old.calls {
		if q == "" {
			break
		}
	}
	testutil.Wait(t, old.calls, "the watch")
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("status %d after the move back", r.status)
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
		t.Errorf("status %d", a.status)
	}
	if q := testutil.Wait(t, d.calls, "a watch"); !strings.Contains(q, "after=7") {
		t.Errorf("the watch asks for %q", q)
	}
}

// Version 0 is a version: a list that has it must be watched, not polled in full
// repeatedly.
func TestWatchAfterVersionZero(t *testing.T) {
	t.Parallel()
	d := newFakeDiscovery(t, instanceAt(testutil.NewBackend(t, testutil.OK), "s-0"))
	cfg := testConfig(t, d, nil)
	cfg.pollTiming = discovery.PushedTiming(cfg.DrainGrace)
	cfg.pollTiming.OverdueAfter = testutil.WaitTimeout // a slow first call must not be hedged by another one
	cfg.pollTiming.AbandonAfter = 2 * testutil.WaitTimeout
	start(t, cfg).waitReady(http.StatusOK)
	testutil.Wait(t, d.calls, "the first call")
	if q := testutil.Wait(t, d.calls, "the watch"); !strings.Contains(q, "after=0") {
		t.Errorf("the second call asks for %q", q)
	}
}

// Where lists are polled, the policy decides when.
func TestPolledList(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t, instanceAt(b, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["settings"] = jsonText(strings.Replace(settingsText, "pushed", "on_request", 1))
	}))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

type jsonText string

// MarshalJSON implements json.Marshaler.
func (j jsonText) MarshalJSON() ([]byte, error) { return []byte(j), nil }

// Discovery's responses may be malformed; the node polls again and applies what it can use.
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
			`"weight":-3,"startedAtMs":1.5e12,"novel":[]}]}`, // incomplete: a full update is requested
		`{"generation":5,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"Ready"},` +
			`{"instanceId":"s-0","hostPort":"` + good.HostPort + `","zone":"far","lifecycle":"Ready","novel":[]}]}`,
	}
	var polls atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The last list is given to each later poll as well: the node may have abandoned the poll that got it first.
		poll := min(int(polls.Add(1)), len(lists))
		io.WriteString(w, lists[poll-1])
	}))
	t.Cleanup(d.Close)
	n := start(t, testConfig(t, &fakeDiscovery{Server: d}, nil))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

// A server that started before this node may still be warming up: its start must be after
// the zero of the clock, which means long ago, and must not differ from list to list,
// which would mean a restart.
func TestEndpointStartTimes(t *testing.T) {
	t.Parallel()
	clock := engine.NewClock()
	d := newEndpointWatcher(&Config{}, clock, nil, testutil.Log(t))
	at := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	first := d.clockTime(at)
	if age := clock.Now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testutil.WaitTimeout {
		t.Errorf("a start 3 s ago is %v ago on the clock", age)
	}
	if again := d.clockTime(at); again != first {
		t.Errorf("the start moved from %v to %v", first, again)
	}
	if d.clockTime(0) != 0 {
		t.Error("a start long ago is not 0")
	}
}
