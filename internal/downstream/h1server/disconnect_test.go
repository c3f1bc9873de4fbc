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

func (c *countingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Second, MaxAttempts: 1}, nil
}

func (c *countingCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	c.requests.Add(1)
	return engine.Answer{Verdict: engine.Rejected}, nil
}

// A process that was stopped for a while finds requests in its sockets whose clients have disconnected: none is
// forwarded. One whose client waits is.
func TestClientsDisconnectedBeforeRead(t *testing.T) {
	for _, strict := range []bool{false, true} {
		for _, behind := range []string{"", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", "rubbish", strings.Repeat("rubbish", 3000)} {
			t.Run(fmt.Sprint("strict ", strict, " and ", len(behind), " bytes behind"), func(t *testing.T) { testDisconnectedBeforeRead(t, strict, behind) })
		}
	}
}

func testDisconnectedBeforeRead(t *testing.T, strict bool, behind string) {
	const clients = 64
	c := &countingCluster{}
	f := New(c, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 2 * clients, New: 2 * clients}, Log: testutil.Log(t), Strict: strict})
	l := testutil.Listen(t)
	ask := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %p\r\nX-Timeout-Ms: 5000\r\n\r\n", nc)
		return nc
	}
	for range clients { // they wait in the socket: nobody has accepted them
		nc := ask()
		io.WriteString(nc, behind)
		nc.Close()
	}
	waits := ask()
	defer waits.Close()
	srv := f.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- f.Serve(srv, f.Listener(l)) }()
	defer func() {
		srv.Close()
		<-served
	}()
	waits.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := io.ReadFull(waits, make([]byte, 12)); err != nil { // it came last, and was taken last
		t.Fatal("one that waits:", err)
	}
	testutil.Until(t, "all connections to be over but one", func() bool { return f.Connections() <= 1 })
	if n := c.requests.Load(); n != 1 {
		t.Errorf("%d requests were handed on, one of them for a client that waits", n)
	}
}

// pendingCluster is a router and its cluster, which answers no request before its context ends.
type pendingCluster struct{ received, ended chan *engine.Request }

func (h *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: time.Hour, MaxAttempts: 1}, nil
}

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
			"nothing": "", "a request": "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", "a byte": "x",
			"part of a request": "GET /x HTTP/1.1\r\nHo", "rubbish": strings.Repeat("rubbish", 5000), "more than is read": strings.Repeat("rubbish", 20000),
		} {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", strict ", strict, ", resets ", resets), func(t *testing.T) {
					t.Parallel()
					h := &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
					f := New(h, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t), Strict: strict})
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
	h := &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
	f := New(h, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t), Strict: true})
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
	h := &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
	f := New(h, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t), Strict: true})
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
	var served atomic.Int64
	f := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
			<-release
			served.Add(1)
			return engine.Answer{Verdict: engine.Rejected}
		}), Deadline: time.Hour, MaxAttempts: 1}, nil
	}), Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 2 * clients, New: 2 * clients}, Log: testutil.Log(t)})
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
		go io.WriteString(nc, strings.Repeat(head+"\r\n", behind)+head+"Connection: close\r\n\r\n") // more than is read ahead
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
		nc.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
		text, err := io.ReadAll(nc)
		if n := strings.Count(string(text), "HTTP/1.1 503"); n != behind+1 || err != nil {
			t.Errorf("%d answers, %v", n, err)
		}
	}
	if n := f.conns.readAheadBytes.Load(); n != 0 || served.Load() != clients*(behind+1) {
		t.Errorf("%d bytes are held, %d requests were served", n, served.Load())
	}
}

// The platform's clients send one request at a time. The disconnect of one that sends more behind it than is read
// ahead, and more than the sockets buffer, is detected; one that stays connected gets its answer, and nothing behind
// its request is served.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	const head = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n"
	flood := strings.Repeat(head, 1<<17) // 9 MB
	ask := func(t *testing.T, to ingress.Router) (*Server, net.Conn) {
		f := New(to, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t), Strict: true})
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
		h := &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
		_, nc := ask(t, h)
		testutil.Wait(t, h.received, "the request")
		nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // it does not wait to be read
		io.WriteString(nc, flood)
		nc.Close() // its end lies behind what found no room
		testutil.Wait(t, h.ended, "the request to be given up")
	})
	for _, others := range []int64{0, maxTotalReadAhead} { // held of other connections
		t.Run(fmt.Sprint("and stays, ", others, " held"), func(t *testing.T) {
			t.Parallel()
			came, answer := make(chan bool, 2), make(chan bool)
			f, nc := ask(t, routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
					came <- true
					<-answer
					return engine.Answer{Verdict: engine.Rejected}
				}), Deadline: time.Hour, MaxAttempts: 1}, nil
			}))
			f.conns.readAheadBytes.Add(others)
			testutil.Wait(t, came, "the request")
			nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			if n, err := io.WriteString(nc, flood); err != nil { // more than the sockets hold
				t.Fatalf("the flood was not read behind %d bytes: %v", n, err)
			}
			if n := f.conns.readAheadBytes.Load() - others; n > maxReadAhead+readAheadChunk {
				t.Errorf("%d bytes are held", n)
			}
			close(answer)
			text, _ := io.ReadAll(nc) // ends with a reset where bytes were left unread
			if !strings.HasPrefix(string(text), "HTTP/1.1 503") || !strings.Contains(string(text), "Connection: close") || strings.Count(string(text), "HTTP/1.1") != 1 {
				t.Errorf("answered by %q", text)
			}
			if len(came) > 0 {
				t.Error("what came behind was served")
			}
			testutil.Until(t, "the connection to be over", func() bool { return f.conns.readAheadBytes.Load() == others })
		})
	}
}

// routerFunc is a router.
type routerFunc func(*http.Request) (ingress.Destination, error)

func (r routerFunc) Route(q *http.Request) (ingress.Destination, error) { return r(q) }

// clusterFunc is a cluster.
type clusterFunc func() engine.Answer

func (d clusterFunc) Do(context.Context, *engine.Request) (engine.Answer, error) { return d(), nil }

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
	h := &pendingCluster{make(chan *engine.Request, 1), make(chan *engine.Request, 1)}
	f := New(h, Options{Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 4, New: 4}, Log: testutil.Log(t), Strict: true})
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
	asks := dial("GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
	testutil.Wait(t, h.received, "the request")
	silent := dial("")
	testutil.Until(t, "both to be there", func() bool { return f.Connections() == 2 })
	f.CloseIdleConnections()
	silent.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one: %v", err)
	}
	if n := f.Connections(); n != 1 {
		t.Errorf("%d connections are left", n)
	}
	asks.Close()
	testutil.Wait(t, h.ended, "the request to be over")
}
