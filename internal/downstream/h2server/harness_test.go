package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/connlimit"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/downstream/h2server"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// blockingCluster is a router and its cluster, which passes requests to the test, and answers none before the test
// releases them.
type blockingCluster struct {
	received chan *engine.Request
	release  chan struct{} // closed to release them
}

// Route implements ingress.Router.
func (c *blockingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (c *blockingCluster) Do(_ context.Context, r *engine.Request) (engine.Answer, error) {
	c.received <- r
	<-c.release
	return engine.Answer{}, engine.ErrClientDisconnected
}

// serve serves a listener over HTTP/2 until the end of the test.
func serve(t *testing.T, to ingress.Router, clock engine.Clock) (addr string) {
	t.Helper()
	f := h1server.New(to, h1server.Options{
		Clock: clock, ConnectionLimits: connlimit.Limits{Active: 64, New: 64}, Log: testutil.Log(t),
	})
	l := testutil.Listen(t)
	srv := f.HTTPServer()
	h2server.Attach(srv, h2server.Options{
		MaxStreams: 200, StallTimeout: testutil.WaitTimeout, Clock: clock, Log: testutil.Log(t),
	})
	served := make(chan error, 1)
	go func() { served <- f.Serve(srv, f.Listener(l)) }()
	t.Cleanup(func() {
		srv.Close()
		<-served
	})
	return l.Addr().String()
}

// peer is a client with a connection over HTTP/2.
type peer struct {
	*http2.Transport
	conn net.Conn
	open sync.WaitGroup
}

// newPeer returns a client that connects at its first request.
func newPeer() *peer {
	p := &peer{}
	dial := func(ctx context.Context, _, addr string, _ *tls.Config) (nc net.Conn, err error) {
		p.conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return p.conn, err
	}
	p.Transport = &http2.Transport{AllowHTTP: true, DialTLSContext: dial}
	return p
}

// send sends a request that ends with ctx, and does not wait.
func (p *peer) send(ctx context.Context, addr, id string) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/x", nil)
	r.Header.Set("X-Request-Id", id)
	p.open.Go(func() {
		if resp, err := p.RoundTrip(r); err == nil {
			resp.Body.Close()
		}
	})
}

// pendingCluster is a router and its cluster, which answers no request before its context ends.
type pendingCluster struct{ received, ended chan struct{} }

// Route implements ingress.Router.
func (h *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (h *pendingCluster) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	h.received <- struct{}{}
	<-ctx.Done()
	h.ended <- struct{}{}
	return engine.Answer{}, engine.ErrClientDisconnected
}
