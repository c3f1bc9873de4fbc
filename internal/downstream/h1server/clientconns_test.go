package h1server

import (
	"io"
	"net"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/testutil"
)

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
