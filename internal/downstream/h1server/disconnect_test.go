package h1server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/testutil"
)

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
	waiting.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := io.ReadFull(waiting, make([]byte, 12)); err != nil { // it came last, and was taken last
		t.Fatal("one that waits:", err)
	}
	testutil.Until(t, "all connections to be over but one", func() bool { return f.Connections() <= 1 })
	if n := c.requests.Load(); n != 1 {
		t.Errorf("%d requests were handed on, one of them for a client that waits", n)
	}
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
