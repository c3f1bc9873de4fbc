package node

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

// agentCall is one call to an agent. It stays in flight until the test responds or the caller cancels it.
type agentCall struct {
	query    string
	response chan<- endpointList
	done     <-chan struct{} // closed once the call has a response or was cancelled
}

// startAgent starts a discovery service whose responses the test provides.
func startAgent(t *testing.T) (addr string, calls <-chan agentCall) {
	received := make(chan agentCall, 256)
	closing := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, done := make(chan endpointList, 1), make(chan struct{})
		defer close(done)
		select {
		case received <- agentCall{r.URL.RawQuery, response, done}:
		case <-closing:
			return
		}
		select {
		case list := <-response:
			text, _ := json.MarshalIndent(list, "", "  ") // the protocol allows indented lists
			w.Write(text)
		case <-r.Context().Done():
		case <-closing:
		}
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(closing) })
	return srv.Listener.Addr().String(), received
}

// listOf returns a full list.
func listOf(generation uint64, instances ...discovery.Instance) endpointList {
	return endpointList{Generation: generation, Full: true, Instances: instances}
}

// draining returns a copy of an instance that is draining.
func draining(instance discovery.Instance) discovery.Instance {
	instance.Lifecycle = "Terminating"
	return instance
}

// startWithAgent starts a node with an initial list and with addr as the address of its discovery service.
func startWithAgent(t *testing.T, addr string, initial endpointList, change func(*Config)) *testNode {
	t.Helper()
	cfg := testConfig(t, newFakeDiscovery(t), func(file map[string]any) {
		file["discovery"], file["known"] = addr, initial
	})
	if change != nil {
		change(cfg)
	}
	return start(t, cfg)
}

// The agent's list applies from the start of the process. A request that arrives before the agent's first response waits for
// that response, and is not sent to an endpoint of the configuration's list.
func TestAgentPrecedesInitialList(t *testing.T) {
	t.Parallel()
	old, fresh := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	addr, calls := startAgent(t)
	n := startWithAgent(t, addr, listOf(3, instanceAt(old, "s-old")), func(c *Config) {
		c.pollTiming = discovery.PushedTiming(c.DrainGrace)
		c.pollTiming.InitialListTimeout = testutil.WaitTimeout
	})
	first := testutil.Wait(t, calls, "the first call")
	if first.query != "after=3&wait_ms=1" {
		t.Errorf("the first call has query %q, want after=3 and no wait for a change", first.query)
	}
	nc := n.dial() // a connection from a downstream load balancer that did not notice the restart
	r := n.request("pay")
	if err := r.Write(nc); err != nil {
		t.Fatal(err)
	}
	first.response <- listOf(4, draining(instanceAt(old, "s-old")), instanceAt(fresh, "s-new"))
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
	if len(old.Requests) != 0 || len(fresh.Requests) != 1 {
		t.Errorf("got %d sends to the draining endpoint, %d to the other, want 0 and 1", len(old.Requests), len(fresh.Requests))
	}
}

// The first response of an agent may be a delta, also an empty one, to the list that the process was started with. The
// process then serves by the result of both, and is ready with that response.
func TestFirstResponseIsDelta(t *testing.T) {
	t.Parallel()
	for name, changed := range map[string]bool{"none": false, "one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
			addr, calls := startAgent(t)
			n := startWithAgent(t, addr, listOf(3, instanceAt(a, "s-a"), instanceAt(b, "s-b")), func(c *Config) {
				c.pollTiming = discovery.PushedTiming(c.DrainGrace)
				c.pollTiming.InitialListTimeout = 10 * testutil.WaitTimeout // so that only the response ends the wait
				c.pollTiming.ReadyTimeout = 20 * testutil.WaitTimeout
			})
			delta := endpointList{Generation: 3, Instances: []discovery.Instance{}}
			if changed {
				delta = endpointList{Generation: 4, Instances: []discovery.Instance{draining(instanceAt(a, "s-a"))}}
			}
			testutil.Wait(t, calls, "the first call").response <- delta
			n.waitReady(http.StatusOK)
			for range 40 {
				if r := n.do(n.request("read")); r.status != http.StatusOK {
					t.Fatalf("got status %d, want 200", r.status)
				}
			}
			toA, toB := len(a.Requests), len(b.Requests)
			ids := map[string]bool{} // counts requests instead of sends, since a request may be hedged on a busy machine
			for range toA {
				ids[(<-a.Requests).Header.Get("X-Request-Id")] = true
			}
			for range toB {
				ids[(<-b.Requests).Header.Get("X-Request-Id")] = true
			}
			if changed && toA > 0 || len(ids) != 40 {
				t.Errorf("got %d sends to s-a, %d to s-b, of %d requests, want 40 requests, none at a draining endpoint",
					toA, toB, len(ids))
			}
		})
	}
}

// If the agent does not respond when a process starts, for example because the discovery service is down, the node serves and
// becomes ready with its initial list.
func TestAgentUnresponsiveAtStart(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	addr, calls := startAgent(t)
	n := startWithAgent(t, addr, listOf(3, instanceAt(b, "s-0")), nil)
	testutil.Wait(t, calls, "the first call")
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("got status %d, want 200", a.status)
	}
}

// awaitHedgedPoll returns the calls of the first poll that continues from generation 1: the long poll, which gets no
// response, and a hedged call. Calls for the full list are hedged calls of the poll before, which ended with its first
// response.
func awaitHedgedPoll(t *testing.T, calls <-chan agentCall) (longPoll, hedge agentCall) {
	t.Helper()
	for longPoll.done == nil || hedge.done == nil {
		call := testutil.Wait(t, calls, "a long poll and a hedged call")
		switch {
		case call.query == "":
		case call.query == "after=1&wait_ms=1":
			hedge = call
		case strings.HasPrefix(call.query, "after=1&") && longPoll.done == nil:
			longPoll = call
		default:
			t.Fatalf("got a call with query %q, want one long poll after generation 1, and hedged calls without a wait", call.query)
		}
	}
	return longPoll, hedge
}

// An unresponsive long poll is hedged, with an agent and with a shared discovery service, since by the protocol a change
// counts as known to the node whether or not the node received it.
func TestUnresponsiveLongPoll(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
			addr, calls := startAgent(t)
			cfg := testConfig(t, newFakeDiscovery(t), func(file map[string]any) {
				file["discovery"] = addr
				file["settings"] = jsonText(strings.Replace(settingsText, "pushed", mode, 1))
			})
			// A test that is late responds to a call that is still in flight. The timeouts themselves are tested in
			// package discovery.
			cfg.pollTiming = configuredTiming(cfg)
			cfg.pollTiming.AbandonAfter, cfg.pollTiming.HedgeTimeout = 2*testutil.WaitTimeout, 2*testutil.WaitTimeout
			n := start(t, cfg)
			testutil.Wait(t, calls, "the first call").response <- listOf(1, instanceAt(a, "s-a"), instanceAt(b, "s-b"))
			n.waitReady(http.StatusOK)
			overdue, hedge := awaitHedgedPoll(t, calls)
			select {
			case <-overdue.done:
				t.Error("the long poll was abandoned before it was hedged")
			default:
			}
			hedge.response <- listOf(2, draining(instanceAt(a, "s-a")), instanceAt(b, "s-b"))
			for {
				if next := testutil.Wait(t, calls, "the next long poll"); strings.HasPrefix(next.query, "after=2&") {
					break
				}
			}
			testutil.Wait(t, overdue.done, "the overdue call to be cancelled")
			for range 20 {
				n.do(n.request("read"))
			}
			if len(a.Requests) != 0 {
				t.Errorf("got %d sends to the draining endpoint, want 0", len(a.Requests))
			}
		})
	}
}

// While the agent is unresponsive, the node continues to make hedged calls within the limit of calls. The agent's list counts
// as known as soon as the agent responds again, and the calls that were in flight before may never be answered.
func TestAgentUnresponsiveForLong(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	addr, calls := startAgent(t)
	n := startWithAgent(t, addr, listOf(3, instanceAt(b, "s-0")), nil)
	n.waitReady(http.StatusOK)
	maxCalls := discovery.PushedTiming(0).MaxCalls
	var inFlight []agentCall
	for range 4 * maxCalls {
		inFlight = append(inFlight, testutil.Wait(t, calls, "a further hedged call"))
		testutil.Until(t, "the calls in flight to be within the limit", func() bool {
			inFlight = slices.DeleteFunc(inFlight, func(c agentCall) bool {
				select {
				case <-c.done:
					return true
				default:
					return false
				}
			})
			return len(inFlight) <= maxCalls
		})
	}
	testutil.Until(t, "the change to be applied", func() bool {
		select {
		case c := <-calls: // a call that was cancelled in the meantime ignores the response
			c.response <- listOf(4)
		default:
		}
		return n.do(n.request("read")).status == http.StatusServiceUnavailable
	})
}

// While a new discovery address, as after SIGHUP, does not respond, the list of the old address is followed.
func TestPreviousAddressUntilNewOneResponds(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	oldAddr, old := startAgent(t)
	newAddr, fresh := startAgent(t)
	n := startWithAgent(t, oldAddr, endpointList{}, nil)
	testutil.Wait(t, old, "the first call").response <- listOf(1, instanceAt(a, "s-a"), instanceAt(b, "s-b"))
	n.waitReady(http.StatusOK)
	n.node.MoveDiscovery(newAddr)
	first := testutil.Wait(t, fresh, "a call to the new address")
	if first.query != "" {
		t.Errorf("the first call to the new address has query %q, want none (the full list)", first.query)
	}
	for {
		c := testutil.Wait(t, old, "a call to the old address")
		if strings.HasPrefix(c.query, "after=1&") {
			c.response <- listOf(2, draining(instanceAt(a, "s-a")), instanceAt(b, "s-b"))
		} else if strings.HasPrefix(c.query, "after=2&") {
			break
		}
	}
	for range 20 {
		n.do(n.request("read"))
	}
	if len(a.Requests) != 0 {
		t.Errorf("got %d sends to an endpoint that drains by the old address's list, want 0", len(a.Requests))
	}
	testutil.Until(t, "the list of the new address to be applied", func() bool {
		for len(fresh) > 0 { // calls that were cancelled in the meantime ignore the response
			(<-fresh).response <- listOf(7, instanceAt(a, "s-a"))
		}
		n.do(n.request("read"))
		return len(a.Requests) > 0
	})
	testutil.Until(t, "a long poll of the new address", func() bool {
		return strings.HasPrefix(testutil.Wait(t, fresh, "a call to the new address").query, "after=7&")
	})
}
