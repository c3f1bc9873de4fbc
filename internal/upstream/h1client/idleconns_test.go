package h1client

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

func TestEvictIdle(t *testing.T) {
	addr, conns := testutil.Script(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false)
	u, id := poolTo(addr)
	u.maxIdleTime = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go u.EvictIdle(ctx)
	send(ctx, u, id)
	testutil.Wait(t, conns, "a connection")
	testutil.Until(t, "the idle connection to be closed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.connections == 0
	})
}

// What an endpoint does with a connection behind its answer, to close it or to send the answer again, shows only after
// a moment. The next request is not written before, or it would be lost or get another request's answer. It waits
// rather than open a connection, and uses the connection where nothing follows.
func TestReuseDelay(t *testing.T) {
	const secondCopy = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, behind := range map[string]func(nc net.Conn){
		"a close":       func(nc net.Conn) { nc.Close() },
		"a second copy": func(nc net.Conn) { io.WriteString(nc, secondCopy) },
		"noise":         func(nc net.Conn) { io.WriteString(nc, "\x00\x01") },
		"nothing":       nil,
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 10)
			from := map[string]bool{}
			addr, _ := backend(t, func(w http.ResponseWriter, r *http.Request) {
				from[r.RemoteAddr] = true // one request at a time
				if behind == nil {
					time.Sleep(minReuseWaitThreshold) // the server's work
					io.WriteString(w, "hi")
					return
				}
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				time.Sleep(time.Millisecond) // long for a server, short for a connection to settle
				behind(nc)
				done <- struct{}{}
			})
			u, id := poolTo(addr)
			u.reuseDelay = testutil.WaitTimeout / 60
			want := 1
			if behind != nil {
				want = 2
			}
			for range 2 {
				if status, body := send(t.Context(), u, id); status != policy.OK || body != "hi" {
					t.Errorf("status %d, body %q", status, body)
				}
				if behind != nil {
					testutil.Wait(t, done, "what comes behind")
				}
			}
			if len(from) != want {
				t.Errorf("%d connections for two requests, want %d", len(from), want)
			}
		})
	}
}

// An idle connection retains no large request buffer.
func TestIdleConnectionsReleaseLargeBuffers(t *testing.T) {
	addr, _ := backend(t, testutil.OK)
	u, id := poolTo(addr)
	r := &Request{Method: "POST", Target: "/", Host: "x", Header: http.Header{}, Body: make([]byte, MaxBody)}
	if res := u.Exchange(engine.NewCall(t.Context()), id, r, time.Minute); res.Status != policy.OK {
		t.Fatalf("status %d", res.Status)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if idle := u.endpoints[id].idle; len(idle) != 1 || cap(idle[0].requestBuffer) > maxIdleRequestBufferBytes {
		t.Errorf("%d idle", len(idle))
	}
}

// A node among many retains its share of idle connections to an endpoint, however many were in use at once; a node
// alone retains what is useful.
func TestIdleConnectionsAreAShare(t *testing.T) {
	for _, c := range []struct {
		nodes, want int
	}{{1, 32}, {80, 1}, {2, 32}, {10, 12}} {
		u := New(Options{EndpointIdleTimeout: 15 * time.Second, MaxConnections: 1000, NodeCount: c.nodes})
		var list []Endpoint
		for id := range policy.EndpointID(20) {
			list = append(list, Endpoint{ID: id, Address: "127.0.0.1:1"})
		}
		u.UpdateEndpoints(true, list)
		u.mu.Lock()
		for _, s := range u.endpoints { // this node uses all of them
			s.used = true
		}
		u.updateIdleLimits(time.Now().Add(time.Second))
		s := u.endpoints[7]
		u.mu.Unlock()
		for range 50 {
			near, far := net.Pipe()
			defer far.Close()
			u.mu.Lock()
			u.connections++
			u.mu.Unlock()
			u.release(newConn(near, s), true)
		}
		if len(s.idle) != c.want || u.OpenConnections() != c.want {
			t.Errorf("%d nodes: %d are idle, %d counted, want %d", c.nodes, len(s.idle), u.OpenConnections(), c.want)
		}
	}
}
