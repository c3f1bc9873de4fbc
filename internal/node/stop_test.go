package node

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// Requests accepted before a shutdown are answered, and new connections are accepted as long as the platform still sends
// them.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		testutil.OK(w, r)
	})
	n, _ := startReady(t, b)
	held := make(chan reply, 1)
	go func() { held <- n.do(n.request("pay")) }()
	testutil.Wait(t, b.Requests, "the request")
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	late := make(chan reply, 1)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go func() {
		r := n.request("pay")
		r.Write(nc)
		resp, err := http.ReadResponse(bufio.NewReader(nc), r)
		if err != nil {
			t.Error(err)
			late <- reply{}
			return
		}
		late <- reply{status: resp.StatusCode, header: resp.Header}
	}()
	close(release)
	for _, c := range []chan reply{held, late} {
		if a := testutil.Wait(t, c, "a response"); a.status != http.StatusOK {
			t.Errorf("got status %d, want 200", a.status)
		}
	}
	if err := testutil.Wait(t, n.done, "the node to stop"); err != nil {
		t.Errorf("Run returned error %v, want none", err)
	}
}

// The clients of a node that shuts down may have no other node. They are served until shortly before the node has to end, and
// requests that are in flight then are answered.
func TestServesWhileItStops(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			<-r.Context().Done()
			return
		}
		testutil.OK(w, r)
	})
	d := newFakeDiscovery(t, instanceAt(b, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["settings"] = json.RawMessage(strings.ReplaceAll(settingsText,
			`"DeadlineMs": 8000, "PromiseMs": 6000`, `"DeadlineMs": 1000, "PromiseMs": 900`))
	}))
	n.waitReady(http.StatusOK)
	steady, late := n.dial(), n.dial()
	n.roundTrip(steady)
	n.roundTrip(late)
	lateness := testutil.Lateness(t)
	began := time.Now()
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	// This test checks that the node follows its plan; TestStopPlan checks the plan. On a busy machine the test's requests
	// may arrive too rarely, so that the plan ends early.
	plan, before := planShutdown(time.Second), began
	for time.Since(began) < time.Second {
		testutil.Wait(t, b.Requests, "the previous request")
		asked := time.Now()
		resp := n.roundTrip(steady)
		busy := time.Since(before) > arrivalPeriod/2 || time.Since(began) > plan.total-closingPeriod
		if resp.StatusCode != http.StatusOK || resp.Close {
			if !busy {
				t.Fatalf("got status %d, close %v after %v, want 200, false", resp.StatusCode, resp.Close, time.Since(began))
			}
			break
		}
		before = asked
	}
	r := n.request("pay")
	err := r.Write(late)
	sent := time.Since(began)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(late), r)
	}
	switch {
	case err == nil && resp.StatusCode == http.StatusBadGateway:
	case sent > plan.total-closingPeriod-50*time.Millisecond: // the request was sent too late to be accepted
	case lateness() > 25*time.Millisecond: // the request may have been read too late on a busy machine
	default:
		t.Errorf("the last request got response %v, error %v, want status 502", resp, err)
	}
	if err := testutil.Wait(t, n.done, "the node to stop"); err != nil {
		t.Errorf("Run returned error %v, want none", err)
	}
}
