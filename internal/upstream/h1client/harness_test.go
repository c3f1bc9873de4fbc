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

// poolTo returns a pool with a single endpoint at the address, and the endpoint's ID. The pool has no reuse delay.
func poolTo(addr string) (*Pool, policy.EndpointID) {
	p := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10})
	p.reuseDelay = 0
	p.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	return p, 1
}

// send makes one attempt and returns its status and the body of the answer.
func send(ctx context.Context, p *Pool, id policy.EndpointID) (policy.Status, string) {
	r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
	res := p.Exchange(engine.NewCall(ctx), id, r, time.Minute)
	if a, ok := res.Answer.(*Answer); ok {
		return res.Status, string(a.Body)
	}
	return res.Status, ""
}

// startBackend starts an endpoint that answers with handle. It returns the endpoint's address and a channel of the requests
// that it receives.
func startBackend(t *testing.T, handle http.HandlerFunc) (string, chan *http.Request) {
	b := testutil.NewBackend(t, handle)
	return b.Addr(), b.Requests
}
