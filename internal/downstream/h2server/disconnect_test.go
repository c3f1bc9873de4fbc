package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client that net/http does not offer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
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

// pendingCluster is a router and its cluster, which answers no request before its context ends.
type pendingCluster struct{ received, ended chan struct{} }

func (h *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: time.Hour, MaxAttempts: 1}, nil
}

func (h *pendingCluster) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	h.received <- struct{}{}
	<-ctx.Done()
	h.ended <- struct{}{}
	return engine.Answer{}, engine.ErrClientDisconnected
}

// Over HTTP/2 a client that resets its stream, or closes its connection, ends its request: the frames of a connection
// are read whatever its streams do.
func TestDisconnectDuringRequest(t *testing.T) {
	for _, cuts := range []bool{false, true} {
		h := &pendingCluster{make(chan struct{}, 1), make(chan struct{}, 1)}
		clock := engine.NewClock()
		f := h1server.New(h, h1server.Options{Clock: clock, ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t)})
		l := testutil.Listen(t)
		srv := f.HTTPServer()
		h2server.Attach(srv, h2server.Options{MaxStreams: 10, StallTimeout: testutil.WaitTimeout, Clock: clock, Log: testutil.Log(t)})
		served := make(chan error, 1)
		go func() { served <- f.Serve(srv, f.Listener(l)) }()
		var nc net.Conn
		peer := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, _, addr string, _ *tls.Config) (net.Conn, error) {
			var err error
			nc, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return nc, err
		}}
		ctx, leave := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			if resp, err := peer.RoundTrip(r); err == nil {
				resp.Body.Close()
				t.Error("an answer")
			}
		}()
		testutil.Wait(t, h.received, "the request")
		if cuts {
			nc.Close()
		} else {
			leave()
		}
		testutil.Wait(t, h.ended, "the request to be given up")
		testutil.Wait(t, gone, "the client")
		leave()
		peer.CloseIdleConnections()
		srv.Close()
		<-served
	}
}
