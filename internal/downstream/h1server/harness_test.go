package h1server

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

// countingCluster is a router and its only cluster. It counts the requests and rejects them.
type countingCluster struct{ requests atomic.Int64 }

// Route implements ingress.Router.
func (c *countingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Second, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (c *countingCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	c.requests.Add(1)
	return engine.Answer{Verdict: engine.Rejected}, nil
}

// pendingCluster is a router and its only cluster. It answers no request before the request's context ends.
type pendingCluster struct{ received, ended chan *engine.Request }

func newPendingCluster() *pendingCluster {
	return &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
}

// Route implements ingress.Router.
func (c *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (c *pendingCluster) Do(ctx context.Context, r *engine.Request) (engine.Answer, error) {
	c.received <- r
	<-ctx.Done()
	c.ended <- r
	return engine.Answer{}, engine.ErrClientDisconnected
}

// routerFunc is a function that implements ingress.Router.
type routerFunc func(*http.Request) (ingress.Destination, error)

// Route implements ingress.Router.
func (f routerFunc) Route(r *http.Request) (ingress.Destination, error) { return f(r) }

// clusterFunc is a function that implements ingress.Handler.
type clusterFunc func() engine.Answer

// Do implements ingress.Handler.
func (f clusterFunc) Do(context.Context, *engine.Request) (engine.Answer, error) { return f(), nil }

// fewConnections are connection limits for tests with a few clients.
var fewConnections = connlimit.Limits{Active: 4, New: 4}

// strictOptions returns the options of a server for a few of the platform's clients.
func strictOptions(t *testing.T) Options {
	return Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t), Strict: true}
}

// serve runs a server on a listener of its own until the end of the test, and returns its address.
func serve(t *testing.T, server *Server) (addr string) {
	t.Helper()
	l := testutil.Listen(t)
	srv := server.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- server.Serve(srv, server.Listener(l)) }()
	t.Cleanup(func() {
		srv.Close()
		<-served
	})
	return l.Addr().String()
}
