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

// countingCluster is a router and its cluster, which counts the requests.
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

// pendingCluster is a router and its cluster, which answers no request before its context ends.
type pendingCluster struct{ received, ended chan *engine.Request }

func newPendingCluster() *pendingCluster {
	return &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
}

// Route implements ingress.Router.
func (h *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (h *pendingCluster) Do(ctx context.Context, r *engine.Request) (engine.Answer, error) {
	h.received <- r
	<-ctx.Done()
	h.ended <- r
	return engine.Answer{}, engine.ErrClientDisconnected
}

// routerFunc is a router.
type routerFunc func(*http.Request) (ingress.Destination, error)

// Route implements ingress.Router.
func (r routerFunc) Route(q *http.Request) (ingress.Destination, error) { return r(q) }

// clusterFunc is a cluster.
type clusterFunc func() engine.Answer

// Do implements ingress.Handler.
func (d clusterFunc) Do(context.Context, *engine.Request) (engine.Answer, error) { return d(), nil }

// fewConnections are limits for a few clients.
var fewConnections = connlimit.Limits{Active: 4, New: 4}

// strictOptions are options of a server for a few of the platform's clients.
func strictOptions(t *testing.T) Options {
	return Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t), Strict: true}
}

// serve serves a server's listener until the end of the test.
func serve(t *testing.T, f *Server) (addr string) {
	t.Helper()
	l := testutil.Listen(t)
	srv := f.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- f.Serve(srv, f.Listener(l)) }()
	t.Cleanup(func() {
		srv.Close()
		<-served
	})
	return l.Addr().String()
}
