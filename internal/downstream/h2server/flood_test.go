package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/connlimit"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/downstream/h2server"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/testutil/enginetest"
	"yokestall/internal/upstream/h1client"
)

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
		MaxStreams: 200, StallTimeout: testutil.Patience, Clock: clock, Log: testutil.Log(t),
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

// The check before a send detects that the client of an HTTP/2 stream has reset the stream or closed its connection,
// before the request's context ends.
func TestStreamDisconnectedBeforeSend(t *testing.T) {
	t.Parallel()
	for _, closes := range []bool{false, true} {
		c := &blockingCluster{make(chan *engine.Request, 1), make(chan struct{})}
		addr := serve(t, c, engine.NewClock())
		p := newPeer()
		ctx, reset := context.WithCancel(t.Context())
		p.send(ctx, addr, "i")
		r := testutil.Wait(t, c.received, "the request")
		if r.ClientDisconnected == nil {
			t.Fatal("the check is missing")
		}
		if r.ClientDisconnected() {
			t.Error("a client that waits has left")
		}
		if closes {
			p.conn.Close()
		} else {
			reset()
		}
		testutil.Until(t, "a send to be barred", r.ClientDisconnected)
		close(c.release)
		reset()
		p.open.Wait()
		p.CloseIdleConnections()
	}
}

// Load of TestQueuedStreamsDisconnectInBursts.
const (
	waves       = 8
	burst       = 100 // streams of one connection
	resetsEvery = 2   // of so many waves one ends by RST_STREAM, the others by the end of the connection
	// disconnectBound is the time after a disconnect at which no attempt may begin for the client.
	disconnectBound = 100 * time.Millisecond
)

// Hundreds of streams are reset in bursts, by RST_STREAM and by the end of their connection, while their requests are
// queued for an endpoint that does not answer. Once it answers again, none is forwarded 0.1 s after its disconnect.
func TestQueuedStreamsDisconnectInBursts(t *testing.T) {
	t.Parallel()
	b := testutil.NewGatedBackend(t)
	clock := engine.NewClock()
	cluster, _ := enginetest.OneEndpoint(t, b.Addr(), clock, h1client.Options{
		EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.Patience, MaxConnections: 16,
	})
	router := &countingRouter{Handler: cluster}
	addr := serve(t, router, clock)
	lateness := testutil.Lateness(t)
	for wave := range waves {
		p := newPeer()
		ctx, reset := context.WithCancel(t.Context())
		var ids []string
		for i := range burst {
			ids = append(ids, fmt.Sprint(wave, "-", i))
			p.send(ctx, addr, ids[i])
		}
		testutil.Until(t, "all to be there", func() bool { return router.requests.Load() == int64(wave+1)*burst })
		if wave%resetsEvery == 0 {
			b.Disconnect(ids, reset)
		} else {
			b.Disconnect(ids, func() { p.conn.Close() })
		}
		if wave%4 < 2 {
			time.Sleep(disconnectBound + lateness()) // the time that the rule allows
		}
		b.Release()
		reset()
		p.open.Wait()
		p.CloseIdleConnections()
	}
	bound := disconnectBound + lateness()
	arrived, disconnected, late := b.Counts(bound)
	if late > 0 || disconnected != waves*burst || arrived == disconnected {
		t.Errorf("%d of %d were sent on %v after their clients had left, %d in all", late, disconnected, bound, arrived)
	}
	t.Logf("%d streams, %d had been sent on, %d later than %v", disconnected, arrived, late, bound)
}

// countingRouter is a router to one cluster, which counts the requests.
type countingRouter struct {
	ingress.Handler
	requests atomic.Int64
}

// Route implements ingress.Router.
func (r *countingRouter) Route(*http.Request) (ingress.Destination, error) {
	r.requests.Add(1)
	return ingress.Destination{Cluster: r.Handler, Deadline: time.Hour}, nil
}
