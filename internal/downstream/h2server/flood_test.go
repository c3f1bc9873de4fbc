package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client that net/http does not offer

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
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// asking is a cluster that passes requests to the test, and holds each until the test releases it.
type asking struct {
	came chan *engine.Request
	goes chan struct{}
}

func (a *asking) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: a, Deadline: time.Hour, MaxAttempts: 1}, nil
}

func (a *asking) Do(_ context.Context, r *engine.Request) (engine.Answer, error) {
	a.came <- r
	<-a.goes
	return engine.Answer{}, engine.ErrClientDisconnected
}

// serve serves a listener over HTTP/2 until the end of the test.
func serve(t *testing.T, to ingress.Router, clock engine.Clock) (addr string) {
	t.Helper()
	f := h1server.New(to, h1server.Options{Clock: clock, ConnectionLimits: connlimit.Limits{Active: 64, New: 64}, Log: testutil.Log(t)})
	l := testutil.Listen(t)
	srv := f.HTTPServer()
	h2server.Attach(srv, h2server.Options{MaxStreams: 200, StallTimeout: testutil.WaitTimeout, Clock: clock, Log: testutil.Log(t)})
	served := make(chan error, 1)
	go func() { served <- f.Serve(srv, f.Listener(l)) }()
	t.Cleanup(func() {
		srv.Close()
		<-served
	})
	return l.Addr().String()
}

// peer is a client's connection over HTTP/2.
type peer struct {
	*http2.Transport
	conn net.Conn
	open sync.WaitGroup
}

func newPeer() *peer {
	p := &peer{}
	p.Transport = &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, _, addr string, _ *tls.Config) (nc net.Conn, err error) {
		p.conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return p.conn, err
	}}
	return p
}

// ask sends a request that ends with ctx, and does not wait.
func (p *peer) ask(ctx context.Context, addr, id string) {
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
	for _, cuts := range []bool{false, true} {
		a := &asking{make(chan *engine.Request, 1), make(chan struct{})}
		addr := serve(t, a, engine.NewClock())
		p := newPeer()
		ctx, leave := context.WithCancel(t.Context())
		p.ask(ctx, addr, "i")
		r := testutil.Wait(t, a.came, "the request")
		if r.ClientDisconnected == nil {
			t.Fatal("nobody asks for the client")
		}
		if r.ClientDisconnected() {
			t.Error("a client that waits has left")
		}
		if cuts {
			p.conn.Close()
		} else {
			leave()
		}
		testutil.Until(t, "a send to be barred", r.ClientDisconnected)
		close(a.goes)
		leave()
		p.open.Wait()
		p.CloseIdleConnections()
	}
}

// Hundreds of streams are reset in bursts, by RST_STREAM and by the end of their connection, while their requests are
// queued for an endpoint that does not answer. Once it answers again, none is forwarded 0.1 s after its disconnect.
func TestQueuedStreamsDisconnectInBursts(t *testing.T) {
	t.Parallel()
	const waves, burst, rule = 8, 100, 100 * time.Millisecond
	var mu sync.Mutex
	gate := make(chan struct{})
	left, sent := map[string]time.Time{}, map[string]time.Time{}
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		sent[r.Header.Get("X-Request-Id")] = time.Now()
		goes := gate
		mu.Unlock()
		select {
		case <-goes:
			testutil.OK(w, r)
		case <-r.Context().Done():
		}
	})
	set := policy.Defaults()
	set.Limits.AllowCancel = true
	set.Classes = []policy.Class{{Deadline: time.Hour, LatencyObjective: time.Minute, PriorityWeight: 1, Idempotency: policy.Idempotent}}
	pool := h1client.New(h1client.Options{EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 16})
	pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: b.Addr()}})
	clock := engine.NewClock()
	ctx, stop := context.WithCancel(context.Background())
	cluster, err := engine.New(ctx, set, pool, engine.Options{Seed: 1, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-cluster.Ended()
		pool.UpdateEndpoints(true, nil)
	})
	cluster.UpdateEndpoints(policy.FullUpdate, []policy.Endpoint{{ID: 1, State: policy.Ready, Weight: 1}})
	to := &routes{Handler: cluster}
	addr := serve(t, to, clock)
	lateness := testutil.Lateness(t)
	for wave := range waves {
		p := newPeer()
		here, leave := context.WithCancel(t.Context())
		for i := range burst {
			p.ask(here, addr, fmt.Sprint(wave, "-", i))
		}
		testutil.Until(t, "all to be there", func() bool { return to.asked.Load() == int64(wave+1)*burst })
		mu.Lock()
		if wave%2 == 0 {
			leave()
		} else {
			p.conn.Close()
		}
		for i := range burst {
			left[fmt.Sprint(wave, "-", i)] = time.Now()
		}
		mu.Unlock()
		if wave%4 < 2 {
			time.Sleep(rule + lateness()) // the rule's own time
		}
		mu.Lock()
		close(gate)
		gate = make(chan struct{})
		mu.Unlock()
		leave()
		p.open.Wait()
		p.CloseIdleConnections()
	}
	mu.Lock()
	defer mu.Unlock()
	late, bound := 0, rule+lateness()
	for id, at := range left {
		if s, ok := sent[id]; ok && s.Sub(at) > bound {
			late++
		}
	}
	if late > 0 || len(left) != waves*burst || len(sent) == len(left) {
		t.Errorf("%d of %d were sent on %v after their clients had left, %d in all", late, len(left), bound, len(sent))
	}
	t.Logf("%d streams, %d had been sent on, %d later than %v", len(left), len(sent), late, bound)
}

// routes is a router to one cluster, which counts the requests.
type routes struct {
	ingress.Handler
	asked atomic.Int64
}

func (r *routes) Route(*http.Request) (ingress.Destination, error) {
	r.asked.Add(1)
	return ingress.Destination{Cluster: r.Handler, Deadline: time.Hour}, nil
}
