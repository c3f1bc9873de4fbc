package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
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

// blockingCluster is a router and its only cluster. It passes requests to the test, and answers none before the test
// closes release.
type blockingCluster struct {
	received chan *engine.Request
	release  chan struct{} // closed by the test to have the requests answered
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

// serve runs a server with HTTP/2 on a listener of its own until the end of the test, and returns its address.
func serve(t *testing.T, to ingress.Router, clock engine.Clock) (addr string) {
	t.Helper()
	_, addr = serveWith(t, to, h1server.Options{Clock: clock, ConnectionLimits: connlimit.Limits{Active: 64, New: 64}})
	return addr
}

// serveWith is serve with the options of the server, which it returns too. It sets Options.Log.
func serveWith(t *testing.T, to ingress.Router, o h1server.Options) (server *h1server.Server, addr string) {
	t.Helper()
	o.Log = testutil.Log(t)
	server = h1server.New(to, o)
	l := testutil.Listen(t)
	srv := server.HTTPServer()
	h2server.Attach(srv, h2server.Options{
		MaxStreams: 200, StallTimeout: testutil.WaitTimeout, Clock: o.Clock, Log: o.Log,
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(srv, server.Listener(l)) }()
	t.Cleanup(func() {
		srv.Close()
		<-served
	})
	return server, l.Addr().String()
}

// serverTLS returns the TLS configuration of a server with the certificate of another one. It is nil without TLS.
func serverTLS(certificates *httptest.Server, withTLS bool) *tls.Config {
	if !withTLS {
		return nil
	}
	return &tls.Config{Certificates: certificates.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}
}

// testClient is a client with one HTTP/2 connection.
type testClient struct {
	*http2.Transport
	conn net.Conn
	open sync.WaitGroup // the requests without an answer
}

// newTestClient returns a client that connects with its first request.
func newTestClient() *testClient {
	c := &testClient{}
	dial := func(ctx context.Context, _, addr string, _ *tls.Config) (nc net.Conn, err error) {
		c.conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return c.conn, err
	}
	c.Transport = &http2.Transport{AllowHTTP: true, DialTLSContext: dial}
	return c
}

// send starts a request that ends with ctx. It does not wait for the answer.
func (c *testClient) send(ctx context.Context, addr, id string) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/x", nil)
	r.Header.Set("X-Request-Id", id)
	c.open.Go(func() {
		if resp, err := c.RoundTrip(r); err == nil {
			resp.Body.Close()
		}
	})
}

// pendingCluster is a router and its only cluster. It answers no request before the request's context ends.
type pendingCluster struct{ received, ended chan struct{} }

// Route implements ingress.Router.
func (c *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (c *pendingCluster) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	c.received <- struct{}{}
	<-ctx.Done()
	c.ended <- struct{}{}
	return engine.Answer{}, engine.ErrClientDisconnected
}
