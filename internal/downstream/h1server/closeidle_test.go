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

// At the end of a shutdown, the connections without an open request are closed, and no others.
func TestCloseIdleConnections(t *testing.T) {
	t.Parallel()
	cluster := newPendingCluster()
	server := New(cluster, strictOptions(t))
	addr := serve(t, server)
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
	testutil.Wait(t, cluster.received, "the request")
	silent := dial("")
	testutil.Until(t, "both connections to be accepted", func() bool { return server.Connections() == 2 })
	server.CloseIdleConnections()
	silent.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("reading the connection without a request returned error %v, want EOF", err)
	}
	if n := server.Connections(); n != 1 {
		t.Errorf("%d connections are open, want 1, that of the open request", n)
	}
	busy.Close()
	testutil.Wait(t, cluster.ended, "the end of the request")
}

// Lame duck mode, a shutdown and a hot restart close idle connections, except those on which the next request has
// arrived: it is read and answered.
func TestClosesOnlyIdleConnections(t *testing.T) {
	for name, closeIdle := range map[string]func(cs *clientConns){
		"emptied": func(cs *clientConns) {
			cs.closeExpired(0, adminstate.UnreadyPropagationDelay)
		},
		"stopping":     func(cs *clientConns) { cs.closeExpired(0, unlimitedIdle) },
		"handing over": func(cs *clientConns) { cs.closeExpired(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			l := testutil.Listen(t)
			conns := newClientConns(connlimit.Limits{Active: 8, New: 8})
			listener := limitedListener{l, conns}
			defer listener.Close()
			accept := func(hadRequest bool) (client net.Conn, c *clientConn) {
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
				if hadRequest { // the connection is idle after it
					conns.mu.Lock()
					conns.bytesReceived(c)
					conns.table.RequestComplete(conns.now(), c.entry)
					conns.table.ResponseSent(conns.now(), c.entry)
					conns.mu.Unlock()
				}
				return client, c
			}
			_, idle := accept(true)
			reusingClient, reused := accept(true)
			newClient, fresh := accept(false)
			io.WriteString(reusingClient, "GET /read")
			io.WriteString(newClient, "GET /read")
			for _, c := range []*clientConn{reused, fresh} {
				testutil.Until(t, "the bytes to arrive", func() bool { return !h1client.NothingToRead(c.Conn) })
			}
			conns.mu.Lock()
			closeIdle(conns)
			conns.mu.Unlock()
			if !idle.entry.Removed() {
				t.Error("the idle connection is still open, want it closed")
			}
			for _, c := range []*clientConn{reused, fresh} {
				if n, err := c.Read(make([]byte, 20)); n != 9 {
					t.Errorf("Read of a connection with unread bytes returned %d bytes and error %v, want 9 bytes", n, err)
				}
			}
		})
	}
}

// A request that is read from its socket while its connection is being closed as idle, before the table knows of it,
// gets its answer. The socket then has nothing more to read, so that the connection looks idle, and the client cannot
// know that its request was not served.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	t.Parallel()
	for name, closeIdle := range map[string]func(cs *clientConns){
		"a stop":          func(cs *clientConns) { cs.closeExpired(0, unlimitedIdle) },
		"the last moment": func(cs *clientConns) { cs.closeExpired(0, 0) },
	} {
		for _, again := range []bool{false, true} { // the connection's first request, or its second
			t.Run(fmt.Sprint(name, ", again ", again), func(t *testing.T) {
				t.Parallel()
				server := New(&countingCluster{}, strictOptions(t))
				nc, err := net.Dial("tcp", serve(t, server))
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
				in := bufio.NewReader(nc)
				send := func(id string) {
					fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 5000\r\n\r\n", id)
				}
				readAnswer := func() error {
					resp, err := http.ReadResponse(in, nil)
					if err == nil {
						resp.Body.Close()
					}
					return err
				}
				cs := server.conns
				var c *clientConn
				findIdle := func() bool {
					cs.mu.Lock()
					defer cs.mu.Unlock()
					if e := cs.table.NextExpired(unlimitedIdle, 0, 0); e != nil {
						c = e.Owner.(*clientConn)
					}
					return c != nil
				}
				if again {
					send("first")
					if err := readAnswer(); err != nil {
						t.Fatal(err)
					}
				}
				testutil.Until(t, "the connection to be idle", findIdle)
				cs.mu.Lock() // keeps Read from reporting the request to the table
				send("second")
				testutil.Until(t, "the request to be read", func() bool {
					c.readMu.Lock()
					defer c.readMu.Unlock()
					return c.unreported
				})
				closeIdle(cs)
				cs.mu.Unlock()
				if err := readAnswer(); err != nil {
					t.Errorf("reading the answer of a request that was read failed: %v", err)
				}
			})
		}
	}
}
