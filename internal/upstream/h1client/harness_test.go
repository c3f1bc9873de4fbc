package h1client

import (
	"context"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// poolTo returns a pool with one endpoint at an address, and the endpoint.
func poolTo(addr string) (*Pool, policy.EndpointID) {
	u := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10})
	u.reuseDelay = 0
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	return u, 1
}

// send makes one attempt and returns its status and the body of its answer.
func send(ctx context.Context, u *Pool, id policy.EndpointID) (policy.Status, string) {
	r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
	res := u.Exchange(engine.NewCall(ctx), id, r, time.Minute)
	if a, ok := res.Answer.(*Answer); ok {
		return res.Status, string(a.Body)
	}
	return res.Status, ""
}

// backend returns the address of an endpoint, and the requests that it receives.
func backend(t *testing.T, handle http.HandlerFunc) (string, chan *http.Request) {
	b := testutil.NewBackend(t, handle)
	return b.Addr(), b.Requests
}
