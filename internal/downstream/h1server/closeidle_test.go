package h1server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/connlimit"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

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
	silent.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one: %v", err)
	}
	if n := f.Connections(); n != 1 {
		t.Errorf("%d connections are left", n)
	}
	busy.Close()
	testutil.Wait(t, h.ended, "the request to be over")
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
				nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
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
