package h1client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

func poolTo(addr string) (*Pool, policy.EndpointID) {
	u := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10})
	u.reuseDelay = 0
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	return u, 1
}

// send makes one attempt and returns the body of its answer.
func send(ctx context.Context, u *Pool, id policy.EndpointID) (policy.Status, string) {
	r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
	res := u.Exchange(engine.NewCall(ctx), id, r, time.Minute)
	if a, ok := res.Answer.(*Answer); ok {
		return res.Status, string(a.Body)
	}
	return res.Status, ""
}

// backend returns the address of an endpoint, and the requests that it receives.
func backend(t *testing.T, handle http.HandlerFunc) (string, chan *http.Request) {
	b := testutil.NewBackend(t, handle)
	return b.Addr(), b.Requests
}

func TestOutcomes(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, c := range map[string]struct {
		answer string
		close  bool
		status policy.Status
		conns  int // that two attempts take
	}{
		"served":                {good, false, policy.OK, 1},
		"served, chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", false, policy.OK, 1},
		"served, then closed":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", true, policy.OK, 2},
		"early hints":           {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good, false, policy.OK, 1},
		"more than the answer":  {good + "rest", false, policy.OK, 2},
		"error":                 {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"another status":        {"HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"turned away, 503":      {"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"turned away, 504":      {"HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"503 that promises not": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"reset":                 {"", true, policy.Reset, 2},
		"half a head":           {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.Reset, 2},
		"half a body":           {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", true, policy.Reset, 2},
		"body with no length":   {"HTTP/1.1 200 OK\r\n\r\nhi", true, policy.Reset, 2},
		"noise":                 {"\x00\x01\x02 what\r\n\r\n", false, policy.ErrorResponse, 2},
		"large body":            {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", MaxBody+1, strings.Repeat("x", MaxBody+1)), false, policy.ErrorResponse, 2},
		"noise with no line":    {"\x00\x01\x02", false, policy.ErrorResponse, 2},
		"head without end":      {"HTTP/1.1 200 OK\r\nX-Filler: 1\r\n", false, policy.ErrorResponse, 2},
		"body that stops":       {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"chunks that stop":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, policy.ErrorResponse, 2},
		"said to have 3 GB":     {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"chunk too large":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi", false, policy.ErrorResponse, 2},
		"two lengths":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"negative length":       {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"length no number":      {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"1xx for ever":          {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), false, policy.ErrorResponse, 2},
		"1xx, then nothing":     {"HTTP/1.1 103 Early Hints\r\n\r\nHT", false, policy.ErrorResponse, 2},
		"large head":            {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxAnswerBytes+1), false, policy.ErrorResponse, 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := testutil.Script(t, c.answer, c.close)
			u, id := poolTo(addr)
			for range 2 {
				// What is spoilt has to be seen from itself: the call has no deadline that is near.
				ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
				status, body := send(ctx, u, id)
				if ctx.Err() != nil {
					t.Error("waited for to the end of the request's time")
				}
				cancel()
				if status != c.status {
					t.Errorf("status %d, want %d", status, c.status)
				}
				if c.status == policy.OK && body != "hi" {
					t.Errorf("body %q", body)
				}
			}
			if len(conns) != c.conns {
				t.Errorf("%d connections, want %d", len(conns), c.conns)
			}
		})
	}
}

// An answer without a length ends with its connection where it says so. Otherwise that may be the end of a part, also
// for a stream.
func TestAnswersWithNoLength(t *testing.T) {
	for head, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n": false, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": true, "HTTP/1.0 200 OK\r\n\r\n": true,
	} {
		for _, length := range []int{2, MaxBody + 1, 4 * MaxBody} {
			t.Run(fmt.Sprintf("%.28q of %d", head, length), func(t *testing.T) {
				addr, _ := testutil.Script(t, head+strings.Repeat("x", length), true)
				u, id := poolTo(addr)
				u.streamLargeBodies = true
				r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
				res := u.Exchange(engine.NewCall(t.Context()), id, r, time.Minute)
				got, err := 0, error(nil)
				if a, ok := res.Answer.(*Answer); ok && a.Stream != nil {
					var body []byte
					body, err = io.ReadAll(a.Stream)
					got = len(body)
					a.Close()
				} else if ok {
					got = len(a.Body)
				}
				if served := res.Status == policy.OK && err == nil; served != whole || served && got != length {
					t.Errorf("taken for whole: %v (status %d, %v), %d bytes of %d", served, res.Status, err, got, length)
				}
			})
		}
	}
}

// With Options.AnyStatus an answer below 500 is served, with its status.
func TestAnyAnswer(t *testing.T) {
	addr, _ := backend(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such room", 404) })
	u := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10, AnyStatus: true})
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	res := u.Exchange(engine.NewCall(t.Context()), 1, &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}, time.Minute)
	if a, ok := res.Answer.(*Answer); !ok || res.Status != policy.OK || a.Status != 404 {
		t.Errorf("result %+v", res)
	}
}

func TestConnectFailed(t *testing.T) {
	u, id := poolTo(testutil.RefusingAddr(t))
	if status, _ := send(t.Context(), u, id); status != policy.ConnectFailed {
		t.Errorf("status %d", status)
	}
	if u.connections != 0 {
		t.Errorf("%d connections counted", u.connections)
	}
}

// A request that has its final answer while an attempt waits for its connection is not sent.
func TestNoSendAfterFinalAnswer(t *testing.T) {
	addr, got := backend(t, testutil.OK)
	u, id := poolTo(addr)
	c := engine.NewCall(t.Context())
	c.Revoke()
	if res := u.Exchange(c, id, &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}, time.Minute); res.Status != policy.NeverSent {
		t.Errorf("status %d", res.Status)
	}
	send(t.Context(), u, id)
	if len(got) != 1 {
		t.Errorf("%d sends, want the second one only", len(got))
	}
}

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

// At the limit on connections nothing is sent and the endpoint is not blamed; an idle connection is closed to make
// room.
func TestConnectionLimit(t *testing.T) {
	addr, _ := backend(t, testutil.OK)
	u, id := poolTo(addr)
	u.maxConnections = 1
	u.connections = 1 // one is in use
	if status, _ := send(t.Context(), u, id); status != policy.NeverSent {
		t.Errorf("status %d at the cap", status)
	}
	u.connections = 0
	other, _ := backend(t, testutil.OK)
	u.UpdateEndpoints(false, []Endpoint{{ID: 2, Address: other}})
	for _, to := range []policy.EndpointID{id, 2, id} {
		if status, _ := send(t.Context(), u, to); status != policy.OK {
			t.Errorf("status %d although an idle connection could make room", status)
		}
	}
}

// An endpoint with the same ID at another address, or with another incarnation, is another process: it gets no
// connection of the former one.
func TestServerReplaced(t *testing.T) {
	first, gotFirst := backend(t, testutil.OK)
	second, gotSecond := backend(t, testutil.OK)
	u, id := poolTo(first)
	send(t.Context(), u, id)
	u.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second}})
	if u.connections != 0 {
		t.Errorf("%d connections to the former address are kept", u.connections)
	}
	send(t.Context(), u, id)
	if len(gotFirst) != 1 || len(gotSecond) != 1 {
		t.Errorf("%d and %d requests", len(gotFirst), len(gotSecond))
	}
	u.UpdateEndpoints(true, []Endpoint{{ID: id, Address: second, Incarnation: 5}})
	if u.connections != 0 {
		t.Errorf("%d connections from before the restart are kept", u.connections)
	}
	u.UpdateEndpoints(false, []Endpoint{{ID: id, Removed: true}})
	if status, _ := send(t.Context(), u, id); status != policy.ConnectFailed {
		t.Errorf("status %d for one that is gone", status)
	}
}

// What an endpoint does with a connection behind its answer, to close it or to send the answer again, shows only after
// a moment. The next request is not written before, or it would be lost or get another request's answer. It waits
// rather than open a connection, and uses the connection where nothing follows.
func TestReuseDelay(t *testing.T) {
	const again = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, behind := range map[string]func(nc net.Conn){
		"a close":       func(nc net.Conn) { nc.Close() },
		"a second copy": func(nc net.Conn) { io.WriteString(nc, again) },
		"noise":         func(nc net.Conn) { io.WriteString(nc, "\x00\x01") },
		"nothing":       nil,
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 10)
			from := map[string]bool{}
			addr, _ := backend(t, func(w http.ResponseWriter, r *http.Request) {
				from[r.RemoteAddr] = true // one request at a time
				if behind == nil {
					time.Sleep(minAwaitReuseFrom) // the server's work
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

// A connection that ends before anything was written to it has carried no request.
func TestNewConnectionReset(t *testing.T) {
	l := testutil.Listen(t)
	u, id := poolTo(l.Addr().String())
	conn, _ := u.connect(engine.NewCall(t.Context()), id)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	testutil.Until(t, "the close to be seen", func() bool { return !NothingToRead(conn.Conn) })
	conn.endpoint.idle = append(conn.endpoint.idle, conn) // for the next send, though never used
	conn.idleSince = time.Now()
	if status, _ := send(t.Context(), u, id); status != policy.ConnectFailed {
		t.Errorf("status %d", status)
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
	if idle := u.endpoints[id].idle; len(idle) != 1 || cap(idle[0].message) > maxIdleMessageBytes {
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
			t.Errorf("%d nodes: %d are kept, %d counted, want %d", c.nodes, len(s.idle), u.OpenConnections(), c.want)
		}
	}
}

// A connection that is established after its timeout carries nothing: the attempt counts as not sent, its descriptor is
// released at once, and the connection is closed.
func TestConnectionComesUpTooLate(t *testing.T) {
	l := testutil.Listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) }) // one waits to be accepted, the next ones don't come up
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	u := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 50 * time.Millisecond, MaxConnections: 10})
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: l.Addr().String()}})
	if status, _ := send(t.Context(), u, 1); status != policy.ConnectFailed {
		t.Errorf("status %d: it has surely not run", status)
	}
	if n := u.OpenConnections(); n != 0 {
		t.Errorf("%d connections are counted", n)
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(1500 * time.Millisecond)) // the next SYN would come after a second
	for range 2 {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // first says nothing
		if text, err := io.ReadAll(nc); len(text) > 0 {
			t.Errorf("%q, %v", text, err)
		}
		nc.Close()
	}
}
