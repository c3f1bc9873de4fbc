package h1server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// gatedCluster is a router and its cluster, which answers when it is released. Any other answer is the server's own.
type gatedCluster struct {
	started chan struct{}
	release chan struct{}
}

func (h *gatedCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: testutil.Patience, MaxRetryAfter: 600 * time.Millisecond}, nil
}

func (h *gatedCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	h.started <- struct{}{}
	<-h.release
	return engine.Answer{Verdict: engine.Served, Value: &h1client.Answer{Status: 200, Body: []byte("done")}}, nil
}

// While all connections are busy, further clients get a response with Retry-After, and beyond those places their
// connections are closed. The busy ones are served, and end with their response where they use the reserve.
func TestOverflowWhenAllConnectionsAreBusy(t *testing.T) {
	const asked, reserve, over = 16, 2, 2
	h := &gatedCluster{started: make(chan struct{}, 100), release: make(chan struct{})}
	f := New(h, Options{
		Clock: engine.NewClock(), Log: testutil.Log(t),
		ConnectionLimits: connlimit.Limits{Active: asked, Reserve: reserve, New: 4, Overflow: over},
	})
	l := testutil.Listen(t)
	srv, listener, ended := f.HTTPServer(), f.Listener(l), make(chan error, 1)
	go func() { ended <- srv.Serve(listener) }()
	defer func() { srv.Close(); listener.Close(); <-ended }()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(testutil.Patience))
		io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
		return nc
	}
	var busy []net.Conn
	for range asked {
		busy = append(busy, dial())
		testutil.Wait(t, h.started, "a request to be at work")
	}
	for range over { // a connection that is told to end keeps its place a while
		resp, err := http.ReadResponse(bufio.NewReader(dial()), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") != "0.600" {
			t.Errorf("over the places: status %d, close %v, headers %v", resp.StatusCode, resp.Close, resp.Header)
		}
	}
	close(h.release)
	last := 0
	for _, nc := range busy {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("one at work ended with %v, %v", resp, err)
		}
		if resp.Close {
			last++
		}
	}
	if last == 0 {
		t.Error("nobody made room although the reserve was in use")
	}
	if len(h.started) != 0 {
		t.Errorf("%d of those over the places reached the cluster", len(h.started))
	}
}

// Bytes that are read from a connection that was closed meanwhile count as not read: its client sends the request again
// elsewhere. Its place is released once.
func TestReadAfterCloseReturnsNothing(t *testing.T) {
	l := testutil.Listen(t)
	conns := newClientConns(connlimit.Limits{Active: 1, New: 1})
	listener := limitedListener{l, conns}
	defer listener.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := nc.(*clientConn)
	conns.mu.Lock()
	conns.table.Remove(c.entry) // as by one that closes at the same time
	conns.mu.Unlock()
	io.WriteString(client, "GET")
	if n, err := nc.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if open, _ := c.beginRequest(false); open {
		t.Error("a request of a closed connection would be served")
	}
	nc.Close()
	if open := conns.table.Len(); open != 0 {
		t.Errorf("%d places are taken", open)
	}
	c.Conn.Close()
}

// A new connection whose bytes this node has not read yet is not closed to make room, and its bytes are read.
func TestUnreadBytesProtectNewConnection(t *testing.T) {
	l := testutil.Listen(t)
	listener := limitedListener{l, newClientConns(connlimit.Limits{Active: 2, New: 1})}
	defer listener.Close()
	dial := func(say string) net.Conn {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		io.WriteString(client, say)
		nc, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	spoken := dial("GET /read")
	silent := dial("")
	dial("")
	if n, err := spoken.Read(make([]byte, 20)); n == 0 {
		t.Errorf("the one that spoke was closed: %v", err)
	}
	if !silent.(*clientConn).entry.Removed() {
		t.Error("the silent one did not make room")
	}
}

// Lame duck mode, a shutdown and a hot restart close idle connections, but none on which the next request has arrived:
// that one is read and answered.
func TestClosesOnlyIdleConnections(t *testing.T) {
	for name, empty := range map[string]func(cs *clientConns){
		"emptied": func(cs *clientConns) {
			cs.closeExpired(0, adminstate.LameDuckNotice)
		},
		"stopping":     func(cs *clientConns) { cs.closeExpired(0, unlimitedIdle) },
		"handing over": func(cs *clientConns) { cs.closeExpired(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			l := testutil.Listen(t)
			conns := newClientConns(connlimit.Limits{Active: 8, New: 8})
			listener := limitedListener{l, conns}
			defer listener.Close()
			accept := func(asked bool) (client net.Conn, c *clientConn) {
				client, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { client.Close() })
				nc, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c = nc.(*clientConn)
				if asked { // and rests
					conns.mu.Lock()
					conns.bytesReceived(c)
					conns.table.RequestComplete(conns.now(), c.entry)
					conns.table.ResponseSent(conns.now(), c.entry)
					conns.mu.Unlock()
				}
				return client, c
			}
			_, resting := accept(true)
			crossing, crossed := accept(true)
			late, spoken := accept(false)
			io.WriteString(crossing, "GET /read")
			io.WriteString(late, "GET /read")
			for _, c := range []*clientConn{crossed, spoken} { // until it is here
				testutil.Until(t, "the bytes", func() bool { return !h1client.NothingToRead(c.Conn) })
			}
			conns.mu.Lock()
			empty(conns)
			conns.mu.Unlock()
			if !resting.entry.Removed() {
				t.Error("one that rests stays")
			}
			for _, c := range []*clientConn{crossed, spoken} {
				if n, err := c.Read(make([]byte, 20)); n != 9 {
					t.Errorf("what had come was closed on: %d bytes, %v", n, err)
				}
			}
		})
	}
}

// A request that was read from its socket while its connection was being closed as idle, before the table knew of it,
// gets its answer: the socket has nothing to read any more, and its client cannot know that it was not served.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	t.Parallel()
	for name, close := range map[string]func(cs *clientConns){
		"a stop":          func(cs *clientConns) { cs.closeExpired(0, unlimitedIdle) },
		"the last moment": func(cs *clientConns) { cs.closeExpired(0, 0) },
	} {
		for _, again := range []bool{false, true} { // a first request, or a further one
			t.Run(fmt.Sprint(name, ", again ", again), func(t *testing.T) {
				t.Parallel()
				f := New(&countingCluster{}, strictOptions(t))
				nc, err := net.Dial("tcp", serve(t, f))
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				nc.SetDeadline(time.Now().Add(testutil.Patience))
				in := bufio.NewReader(nc)
				ask := func(id string) {
					fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 5000\r\n\r\n", id)
				}
				answered := func() error {
					resp, err := http.ReadResponse(in, nil)
					if err == nil {
						resp.Body.Close()
					}
					return err
				}
				cs := f.conns
				var c *clientConn
				find := func() bool {
					cs.mu.Lock()
					defer cs.mu.Unlock()
					if e := cs.table.NextExpired(unlimitedIdle, 0, 0); e != nil {
						c = e.Owner.(*clientConn)
					}
					return c != nil
				}
				if again {
					ask("first")
					if err := answered(); err != nil {
						t.Fatal(err)
					}
				}
				testutil.Until(t, "the connection to rest", find)
				cs.mu.Lock() // nobody can tell the table
				ask("second")
				testutil.Until(t, "the request to be read", func() bool {
					c.readMu.Lock()
					defer c.readMu.Unlock()
					return c.unreported
				})
				close(cs)
				cs.mu.Unlock()
				if err := answered(); err != nil {
					t.Errorf("a request that was read got no answer: %v", err)
				}
			})
		}
	}
}

// A complete request that was read does not lose its place for being slow, however late its handler runs; an incomplete
// one does.
func TestBufferedRequestRetainsPlace(t *testing.T) {
	t.Parallel()
	const get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
	for text, stays := range map[string]bool{
		get: true, "\r\n" + get: true, get + "GET": true,
		get[:len(get)-2]: false, "GET /x HTTP/1.1\r\n": false, "\r\n": false,
		"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n":                        false,
		"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n\r\n\r\n":                false,
		"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na\r\n\r\n": false,
	} {
		cs := newClientConns(connlimit.Limits{Active: 1, New: 4, Overflow: 1})
		l := limitedListener{testutil.Listen(t), cs}
		speak := func(text string) *clientConn {
			there, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { there.Close() })
			io.WriteString(there, text)
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if _, err := io.ReadFull(c, make([]byte, len(text))); err != nil && stays {
				t.Errorf("%q: %v", text, err)
			}
			return c.(*clientConn)
		}
		first := speak(text)
		cs.mu.Lock()
		cs.start = cs.start.Add(-time.Second) // nobody got to it for a second
		cs.mu.Unlock()
		speak("GET /y")
		if got := !first.entry.Removed(); got != stays {
			t.Errorf("%q: stays %v, want %v", text, got, stays)
		}
	}
}
