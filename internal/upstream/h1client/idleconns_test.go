package h1client

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/keepalive"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// EvictIdle closes a connection that has been idle for too long, even if no further request is sent.
func TestEvictIdle(t *testing.T) {
	addr, conns := testutil.Script(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false)
	p, id := poolTo(addr)
	p.maxIdleTime = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.EvictIdle(ctx)
	send(ctx, p, id)
	testutil.Wait(t, conns, "a connection")
	testutil.Until(t, "the idle connection to be closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.connections == 0
	})
}

// An endpoint may close a connection after its answer, or send further bytes, and either becomes visible only after a moment.
// A request that is written before then would be lost or get another request's answer. Therefore no request uses the
// connection before the end of the reuse delay. After a long exchange, the next request waits for that rather than open
// another connection, and reuses the connection if nothing follows the answer.
func TestReuseDelay(t *testing.T) {
	const reuseWaitThreshold = 10 * time.Millisecond
	const duplicateAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, afterAnswer := range map[string]func(nc net.Conn){
		"a close":       func(nc net.Conn) { nc.Close() },
		"a second copy": func(nc net.Conn) { io.WriteString(nc, duplicateAnswer) },
		"noise":         func(nc net.Conn) { io.WriteString(nc, "\x00\x01") },
		"nothing":       nil,
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 10)
			remoteAddrs := map[string]bool{}
			addr, _ := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				remoteAddrs[r.RemoteAddr] = true // needs no lock: there is one request at a time
				if afterAnswer == nil {
					time.Sleep(reuseWaitThreshold) // makes the exchange long enough for the next request to wait
					io.WriteString(w, "hi")
					return
				}
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				time.Sleep(time.Millisecond) // much shorter than the reuse delay
				afterAnswer(nc)
				done <- struct{}{}
			})
			p, id := poolTo(addr)
			p.reuseDelay, p.reuseWaitThreshold = testutil.WaitTimeout/60, reuseWaitThreshold
			want := 1
			if afterAnswer != nil {
				want = 2
			}
			for range 2 {
				if status, body := send(t.Context(), p, id); status != policy.OK || body != "hi" {
					t.Errorf("attempt: got status %d and body %q, want OK and \"hi\"", status, body)
				}
				if afterAnswer != nil {
					testutil.Wait(t, done, "the endpoint's action after its answer")
				}
			}
			if len(remoteAddrs) != want {
				t.Errorf("two requests: got %d connections, want %d", len(remoteAddrs), want)
			}
		})
	}
}

// An attempt that is abandoned while it waits for the reuse delay is not sent, and its connection stays idle.
func TestReuseDelayEndsWithCall(t *testing.T) {
	addr, requests := startBackend(t, testutil.OK)
	p, id := poolTo(addr)
	send(t.Context(), p, id)
	p.reuseDelay, p.reuseWaitThreshold = time.Hour, 0
	ctx, abandon := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, abandon)
	if status, _ := send(ctx, p, id); status != policy.NeverSent {
		t.Errorf("abandoned attempt: got status %d, want NeverSent", status)
	}
	if len(requests) != 1 || p.OpenConnections() != 1 {
		t.Errorf("got %d requests and %d open connections, want 1 of each", len(requests), p.OpenConnections())
	}
}

// At a high rate of requests, more connections are within the reuse delay than an endpoint may have idle ones. They are
// kept, or each request would open a new connection; once the delay is over, those beyond the limit are closed.
func TestReuseDelayAtHighRates(t *testing.T) {
	const connections = 100
	p := New(Options{EndpointIdleTimeout: 10 * time.Hour, MaxConnections: connections})
	p.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: "127.0.0.1:1"}})
	e := p.endpoints[1]
	p.reuseDelay = time.Hour
	p.connections = connections
	for range connections {
		local, remote := net.Pipe()
		defer remote.Close()
		p.release(newConn(local, e), true)
	}
	if n := p.OpenConnections(); n != connections {
		t.Errorf("within the reuse delay: got %d open connections, want %d", n, connections)
	}
	oldest := e.idle[0]
	if c, _, _ := p.acquire(1); c != oldest {
		t.Error("at MaxConnections: an attempt did not get the connection whose reuse delay is over first")
	}
	p.release(oldest, true)
	p.mu.Lock()
	p.evictExpired(e, time.Now().Add(p.reuseDelay))
	p.mu.Unlock()
	if n := p.OpenConnections(); n != keepalive.MaxIdlePerNode {
		t.Errorf("after the reuse delay: got %d open connections, want %d", n, keepalive.MaxIdlePerNode)
	}
	p.UpdateEndpoints(true, nil)
}

// An idle connection does not retain the buffer of a large request.
func TestIdleConnectionsReleaseLargeBuffers(t *testing.T) {
	addr, _ := startBackend(t, testutil.OK)
	p, id := poolTo(addr)
	r := &Request{Method: "POST", Target: "/", Host: "x", Header: http.Header{}, Body: make([]byte, MaxBody)}
	if res := p.Exchange(engine.NewCall(t.Context()), id, r, time.Minute); res.Status != policy.OK {
		t.Fatalf("attempt: got status %d, want OK", res.Status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := p.endpoints[id].idle; len(idle) != 1 || cap(idle[0].requestBuffer) > maxIdleRequestBufferBytes {
		t.Errorf("got %d idle connections, want 1 without a large request buffer", len(idle))
	}
}

// With many nodes, a node retains only its share of the idle connections to an endpoint, even if it had more in use at once.
// With one node, the maximum per node applies.
func TestIdleConnectionsAreAShare(t *testing.T) {
	for _, c := range []struct {
		nodes, want int
	}{{1, 32}, {80, 1}, {2, 32}, {10, 12}} {
		p := New(Options{EndpointIdleTimeout: 15 * time.Second, MaxConnections: 1000, NodeCount: c.nodes})
		p.reuseDelay = 0 // see TestReuseDelayAtHighRates
		var list []Endpoint
		for id := range policy.EndpointID(20) {
			list = append(list, Endpoint{ID: id, Address: "127.0.0.1:1"})
		}
		p.UpdateEndpoints(true, list)
		p.mu.Lock()
		for _, e := range p.endpoints { // this node has used all endpoints
			e.used = true
		}
		p.updateIdleLimits(time.Now().Add(time.Second))
		e := p.endpoints[7]
		p.mu.Unlock()
		for range 50 {
			local, remote := net.Pipe()
			defer remote.Close()
			p.mu.Lock()
			p.connections++
			p.mu.Unlock()
			p.release(newConn(local, e), true)
		}
		if len(e.idle) != c.want || p.OpenConnections() != c.want {
			t.Errorf("%d nodes: got %d idle and %d open connections, want %d of each", c.nodes, len(e.idle), p.OpenConnections(), c.want)
		}
	}
}
