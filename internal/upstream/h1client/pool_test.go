package h1client

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// An attempt that waits for a connection is not sent if the request gets its final answer meanwhile.
func TestNoSendAfterFinalAnswer(t *testing.T) {
	addr, got := startBackend(t, testutil.OK)
	p, id := poolTo(addr)
	c := engine.NewCall(t.Context())
	c.Revoke()
	r := &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}
	if res := p.Exchange(c, id, r, time.Minute); res.Status != policy.NeverSent {
		t.Errorf("attempt of an answered request: got status %d, want NeverSent", res.Status)
	}
	send(t.Context(), p, id)
	if len(got) != 1 {
		t.Errorf("got %d requests at the endpoint, want only that of the second attempt", len(got))
	}
}

// At the limit on connections, nothing is sent, and the status NeverSent does not count against the endpoint. If a connection
// is idle, it is closed to make room.
func TestConnectionLimit(t *testing.T) {
	addr, _ := startBackend(t, testutil.OK)
	p, id := poolTo(addr)
	p.maxConnections = 1
	p.connections = 1 // simulates a connection in use
	if status, _ := send(t.Context(), p, id); status != policy.NeverSent {
		t.Errorf("attempt at the connection limit: got status %d, want NeverSent", status)
	}
	p.connections = 0
	other, _ := startBackend(t, testutil.OK)
	p.UpdateEndpoints(false, []Endpoint{{ID: 2, Address: other}})
	for _, to := range []policy.EndpointID{id, 2, id} {
		if status, _ := send(t.Context(), p, to); status != policy.OK {
			t.Errorf("attempt with an idle connection to close: got status %d, want OK", status)
		}
	}
}

// An endpoint with the same ID but another address or another incarnation is another process: requests to it must not use the
// connections to the former process.
func TestServerReplaced(t *testing.T) {
	first, gotFirst := startBackend(t, testutil.OK)
	second, gotSecond := startBackend(t, testutil.OK)
	p, id := poolTo(first)
	send(t.Context(), p, id)
	p.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second}})
	if p.connections != 0 {
		t.Errorf("connections to the former address: got %d, want 0", p.connections)
	}
	send(t.Context(), p, id)
	if len(gotFirst) != 1 || len(gotSecond) != 1 {
		t.Errorf("requests at the first and second address: got %d and %d, want 1 each", len(gotFirst), len(gotSecond))
	}
	p.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second, Incarnation: 5}})
	if p.connections != 0 {
		t.Errorf("connections from before the restart: got %d, want 0", p.connections)
	}
	p.UpdateEndpoints(false, []Endpoint{{ID: id, Removed: true}})
	if status, _ := send(t.Context(), p, id); status != policy.ConnectFailed {
		t.Errorf("attempt to a removed endpoint: got status %d, want ConnectFailed", status)
	}
}
