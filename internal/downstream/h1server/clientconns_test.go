package h1server

import (
	"io"
	"net"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/testutil"
)

// Bytes that are read from a connection while it is being closed count as not read, because the client sends its
// request again elsewhere. The connection's place is released only once.
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
	conns.table.Remove(c.entry) // as if another goroutine closed the connection at the same time
	conns.mu.Unlock()
	io.WriteString(client, "GET")
	if n, err := nc.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("Read of a closed connection returned %d bytes and error %v, want 0 bytes and an error", n, err)
	}
	if open, _ := c.beginRequest(); open {
		t.Error("beginRequest of a closed connection returned open, so the request would be served")
	}
	nc.Close()
	if open := conns.table.Len(); open != 0 {
		t.Errorf("%d connections in the table after Close, want 0", open)
	}
	c.Conn.Close()
}

// A new connection whose received bytes this node has not read yet is not closed to make room for another one, and its
// bytes are read.
func TestUnreadBytesProtectNewConnection(t *testing.T) {
	l := testutil.Listen(t)
	listener := limitedListener{l, newClientConns(connlimit.Limits{Active: 2, New: 1})}
	defer listener.Close()
	dial := func(text string) net.Conn {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		io.WriteString(client, text)
		nc, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	sender := dial("GET /read")
	silent := dial("")
	dial("")
	if n, err := sender.Read(make([]byte, 20)); n == 0 {
		t.Errorf("Read of the connection with unread bytes returned 0 bytes and error %v, want its bytes", err)
	}
	if !silent.(*clientConn).entry.Removed() {
		t.Error("the connection without bytes is still in the table, want it closed to make room")
	}
}

// A connection from which a complete request was read keeps its place, however late the request's handler runs. A
// connection with an incomplete request loses its place when other clients need it.
func TestBufferedRequestRetainsPlace(t *testing.T) {
	t.Parallel()
	const get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
	for text, keeps := range map[string]bool{
		get: true, "\r\n" + get: true, get + "GET": true,
		get[:len(get)-2]: false, "GET /x HTTP/1.1\r\n": false, "\r\n": false,
		"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n":                        false,
		"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n\r\n\r\n":                false,
		"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na\r\n\r\n": false,
	} {
		cs := newClientConns(connlimit.Limits{Active: 1, New: 4, Overflow: 1})
		l := limitedListener{testutil.Listen(t), cs}
		open := func(text string) *clientConn {
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { client.Close() })
			io.WriteString(client, text)
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if _, err := io.ReadFull(c, make([]byte, len(text))); err != nil && keeps {
				t.Errorf("%q: reading it returned error %v", text, err)
			}
			return c.(*clientConn)
		}
		first := open(text)
		go first.Read(make([]byte, 1)) // net/http waits for the rest of a request, or for the client's end behind a whole one
		testutil.Until(t, "the read to wait", func() bool { return first.awaitsClient(0) })
		cs.mu.Lock()
		cs.start = cs.start.Add(-time.Second) // the handler has not run for a second
		cs.mu.Unlock()
		open("GET /y")
		if got := !first.entry.Removed(); got != keeps {
			t.Errorf("%q: the connection keeps its place: %v, want %v", text, got, keeps)
		}
	}
}
