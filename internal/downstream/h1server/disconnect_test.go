package h1server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// A process that was stopped for a while finds requests in its sockets whose clients have disconnected: none is
// forwarded. One whose client waits is.
func TestClientsDisconnectedBeforeRead(t *testing.T) {
	for _, strict := range []bool{false, true} {
		for _, behind := range []string{
			"", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", "rubbish", strings.Repeat("rubbish", 3000),
		} {
			t.Run(fmt.Sprint("strict ", strict, " and ", len(behind), " bytes behind"), func(t *testing.T) {
				testDisconnectedBeforeRead(t, strict, behind)
			})
		}
	}
}

func testDisconnectedBeforeRead(t *testing.T, strict bool, behind string) {
	const clients = 64
	c := &countingCluster{}
	limits := connlimit.Limits{Active: 2 * clients, New: 2 * clients}
	f := New(c, Options{Clock: engine.NewClock(), ConnectionLimits: limits, Log: testutil.Log(t), Strict: strict})
	l := testutil.Listen(t)
	send := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %p\r\nX-Timeout-Ms: 5000\r\n\r\n", nc)
		return nc
	}
	for range clients { // they wait in the socket: nobody has accepted them
		nc := send()
		io.WriteString(nc, behind)
		nc.Close()
	}
	waiting := send()
	defer waiting.Close()
	srv := f.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- f.Serve(srv, f.Listener(l)) }()
	defer func() {
		srv.Close()
		<-served
	}()
	waiting.SetReadDeadline(time.Now().Add(testutil.Patience))
	if _, err := io.ReadFull(waiting, make([]byte, 12)); err != nil { // it came last, and was taken last
		t.Fatal("one that waits:", err)
	}
	testutil.Until(t, "all connections to be over but one", func() bool { return f.Connections() <= 1 })
	if n := c.requests.Load(); n != 1 {
		t.Errorf("%d requests were handed on, one of them for a client that waits", n)
	}
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

// A disconnect during a request is detected, whatever the client has sent behind the request, also more than is read
// ahead. The check before a send detects it immediately.
func TestDisconnectDuringRequest(t *testing.T) {
	t.Parallel()
	for _, strict := range []bool{true, false} {
		for name, behind := range map[string]string{
			"nothing":           "",
			"a request":         "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
			"a byte":            "x",
			"part of a request": "GET /x HTTP/1.1\r\nHo",
			"rubbish":           strings.Repeat("rubbish", 5000),
			"more than is read": strings.Repeat("rubbish", 20000),
		} {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", strict ", strict, ", resets ", resets), func(t *testing.T) {
					t.Parallel()
					h := newPendingCluster()
					o := strictOptions(t)
					o.Strict = strict
					f := New(h, o)
					nc, err := net.Dial("tcp", serve(t, f))
					if err != nil {
						t.Fatal(err)
					}
					fmt.Fprint(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
					r := testutil.Wait(t, h.received, "the request")
					io.WriteString(nc, behind)
					if r.ClientDisconnected() {
						t.Error("a client that waits has left")
					}
					if resets {
						nc.(*net.TCPConn).SetLinger(0)
					}
					nc.Close()
					testutil.Until(t, "a send to be barred", r.ClientDisconnected) // as soon as the end is here
					testutil.Wait(t, h.ended, "the request to be given up")
					testutil.Until(t, "the connection to be over", func() bool { return f.Connections() == 0 })
					if n := f.conns.readAheadBytes.Load(); n != 0 {
						t.Errorf("%d bytes are held of no connection", n)
					}
				})
			}
		}
	}
}

// The watch alone, without checks before sends, ends the request of a client that has disconnected.
func TestWatchDetectsDisconnect(t *testing.T) {
	t.Parallel()
	h := newPendingCluster()
	f := New(h, strictOptions(t))
	nc, err := net.Dial("tcp", serve(t, f))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
	testutil.Wait(t, h.received, "the request")
	io.WriteString(nc, "GET /x")
	nc.Close()
	testutil.Wait(t, h.ended, "the request to be given up")
}

// The watch detects a disconnect within 0.1 s: no attempt may begin for the client later. Of several tries the fastest
// counts, less the machine's delay.
func TestWatchDetectsDisconnectInTime(t *testing.T) {
	t.Parallel()
	const tries, rule = 6, 100 * time.Millisecond
	h := newPendingCluster()
	f := New(h, strictOptions(t))
	addr := serve(t, f)
	shortest, lateness := time.Hour, testutil.Lateness(t)
	for range tries {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %p\r\nX-Timeout-Ms: 3000000\r\n\r\n", nc)
		testutil.Wait(t, h.received, "the request")
		io.WriteString(nc, "GET /x") // else net/http sees the end by itself
		nc.Close()
		left := time.Now()
		testutil.Wait(t, h.ended, "the request to be given up")
		shortest = min(shortest, time.Since(left))
	}
	if bound := rule + lateness(); shortest > bound {
		t.Errorf("given up %v after its client left, %v is the bound", shortest, bound)
	}
}

// Reading ahead is limited for each connection and for all of them, and loses nothing: the requests behind the first
// one are answered.
func TestReadAheadIsLimitedAndLossless(t *testing.T) {
	t.Parallel()
	const clients, behind = 40, 4000
	release := make(chan struct{})
	var requests atomic.Int64
	f := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
			<-release
			requests.Add(1)
			return engine.Answer{Verdict: engine.Rejected}
		}), Deadline: time.Hour, MaxAttempts: 1}, nil
	}), Options{
		Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 2 * clients, New: 2 * clients},
		Log: testutil.Log(t),
	})
	addr := serve(t, f)
	const head = "GET /x HTTP/1.1\r\nHost: a\r\n"
	conns := make([]net.Conn, clients)
	for i := range conns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		conns[i] = nc
		// More than is read ahead.
		go io.WriteString(nc, strings.Repeat(head+"\r\n", behind)+head+"Connection: close\r\n\r\n")
	}
	testutil.Until(t, "the bound to be met", func() bool {
		n := f.conns.readAheadBytes.Load()
		if n > maxTotalReadAhead {
			t.Fatalf("%d bytes are held", n)
		}
		return n > maxTotalReadAhead-readAheadChunk
	})
	close(release)
	for _, nc := range conns {
		nc.SetReadDeadline(time.Now().Add(testutil.Patience))
		text, err := io.ReadAll(nc)
		if n := strings.Count(string(text), "HTTP/1.1 503"); n != behind+1 || err != nil {
			t.Errorf("%d answers, %v", n, err)
		}
	}
	if n := f.conns.readAheadBytes.Load(); n != 0 || requests.Load() != clients*(behind+1) {
		t.Errorf("%d bytes are held, %d requests were served", n, requests.Load())
	}
}

// The platform's clients send one request at a time. The disconnect of one that sends more behind it than is read
// ahead, and more than the sockets buffer, is detected; one that stays connected gets its answer, and nothing behind
// its request is served.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	const head = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n"
	flood := strings.Repeat(head, 1<<17) // 9 MB
	connect := func(t *testing.T, to ingress.Router) (*Server, net.Conn) {
		f := New(to, strictOptions(t))
		nc, err := net.Dial("tcp", serve(t, f))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, head)
		return f, nc
	}
	t.Run("and leaves", func(t *testing.T) {
		t.Parallel()
		h := newPendingCluster()
		_, nc := connect(t, h)
		testutil.Wait(t, h.received, "the request")
		nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // it does not wait to be read
		io.WriteString(nc, flood)
		nc.Close() // its end lies behind what found no room
		testutil.Wait(t, h.ended, "the request to be given up")
	})
	for _, others := range []int64{0, maxTotalReadAhead} { // held of other connections
		t.Run(fmt.Sprint("and stays, ", others, " held"), func(t *testing.T) {
			t.Parallel()
			received, release := make(chan bool, 2), make(chan bool)
			f, nc := connect(t, routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
					received <- true
					<-release
					return engine.Answer{Verdict: engine.Rejected}
				}), Deadline: time.Hour, MaxAttempts: 1}, nil
			}))
			f.conns.readAheadBytes.Add(others)
			testutil.Wait(t, received, "the request")
			nc.SetDeadline(time.Now().Add(testutil.Patience))
			if n, err := io.WriteString(nc, flood); err != nil { // more than the sockets hold
				t.Fatalf("the flood was not read behind %d bytes: %v", n, err)
			}
			if n := f.conns.readAheadBytes.Load() - others; n > maxReadAhead+readAheadChunk {
				t.Errorf("%d bytes are held", n)
			}
			close(release)
			text, _ := io.ReadAll(nc) // ends with a reset where bytes were left unread
			rejected := strings.HasPrefix(string(text), "HTTP/1.1 503")
			closed := strings.Contains(string(text), "Connection: close")
			if !rejected || !closed || strings.Count(string(text), "HTTP/1.1") != 1 {
				t.Errorf("answered by %q", text)
			}
			if len(received) > 0 {
				t.Error("what came behind was served")
			}
			testutil.Until(t, "the connection to be over", func() bool { return f.conns.readAheadBytes.Load() == others })
		})
	}
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

// At the end of a shutdown the connections without an open request are closed, and no others.
func TestCloseIdleConnections(t *testing.T) {
	t.Parallel()
	h := newPendingCluster()
	f := New(h, strictOptions(t))
	addr := serve(t, f)
	dial := func(text string) net.Conn {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, text)
		return nc
	}
	busy := dial("GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
	testutil.Wait(t, h.received, "the request")
	silent := dial("")
	testutil.Until(t, "both to be there", func() bool { return f.Connections() == 2 })
	f.CloseIdleConnections()
	silent.SetReadDeadline(time.Now().Add(testutil.Patience))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one: %v", err)
	}
	if n := f.Connections(); n != 1 {
		t.Errorf("%d connections are left", n)
	}
	busy.Close()
	testutil.Wait(t, h.ended, "the request to be over")
}
