package h1client

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A request that has its final answer while an attempt waits for its connection is not sent.
func TestNoSendAfterFinalAnswer(t *testing.T) {
	addr, got := backend(t, testutil.OK)
	u, id := poolTo(addr)
	c := engine.NewCall(t.Context())
	c.Revoke()
	r := &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}
	if res := u.Exchange(c, id, r, time.Minute); res.Status != policy.NeverSent {
		t.Errorf("status %d", res.Status)
	}
	send(t.Context(), u, id)
	if len(got) != 1 {
		t.Errorf("%d sends, want the second one only", len(got))
	}
}

// At the limit on connections nothing is sent and the endpoint is not blamed; an idle connection is closed to make
// room.
func TestConnectionLimit(t *testing.T) {
	addr, _ := backend(t, testutil.OK)
	u, id := poolTo(addr)
	u.maxConnections = 1
	u.connections = 1 // one is in use
	if status, _ := send(t.Context(), u, id); status != policy.NeverSent {
		t.Errorf("status %d at the cap", status)
	}
	u.connections = 0
	other, _ := backend(t, testutil.OK)
	u.UpdateEndpoints(false, []Endpoint{{ID: 2, Address: other}})
	for _, to := range []policy.EndpointID{id, 2, id} {
		if status, _ := send(t.Context(), u, to); status != policy.OK {
			t.Errorf("status %d although an idle connection could make room", status)
		}
	}
}

// An endpoint with the same ID at another address, or with another incarnation, is another process: it gets no
// connection of the former one.
func TestServerReplaced(t *testing.T) {
	first, gotFirst := backend(t, testutil.OK)
	second, gotSecond := backend(t, testutil.OK)
	u, id := poolTo(first)
	send(t.Context(), u, id)
	u.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second}})
	if u.connections != 0 {
		t.Errorf("%d connections to the former address are kept", u.connections)
	}
	send(t.Context(), u, id)
	if len(gotFirst) != 1 || len(gotSecond) != 1 {
		t.Errorf("%d and %d requests", len(gotFirst), len(gotSecond))
	}
	u.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second, Incarnation: 5}})
	if u.connections != 0 {
		t.Errorf("%d connections from before the restart are kept", u.connections)
	}
	u.UpdateEndpoints(false, []Endpoint{{ID: id, Removed: true}})
	if status, _ := send(t.Context(), u, id); status != policy.ConnectFailed {
		t.Errorf("status %d for one that is gone", status)
	}
}
