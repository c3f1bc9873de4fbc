package h1client

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// If an endpoint refuses the connection, the attempt ends with ConnectFailed and the pool counts no connection.
func TestConnectFailed(t *testing.T) {
	p, id := poolTo(testutil.RefusingAddr(t))
	if status, _ := send(t.Context(), p, id); status != policy.ConnectFailed {
		t.Errorf("attempt to a refusing address: got status %d, want ConnectFailed", status)
	}
	if p.connections != 0 {
		t.Errorf("open connections: got %d, want 0", p.connections)
	}
}

// A new connection that the endpoint closes before the request is written has carried no request: the attempt ends with
// ConnectFailed.
func TestNewConnectionReset(t *testing.T) {
	l := testutil.Listen(t)
	p, id := poolTo(l.Addr().String())
	conn, _ := p.connect(engine.NewCall(t.Context()), id)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	testutil.Until(t, "the endpoint's close to arrive", func() bool { return !NothingToRead(conn.Conn) })
	conn.endpoint.idle = append(conn.endpoint.idle, conn) // the next attempt takes it as a connection that was never used
	conn.idleSince = time.Now()
	if status, _ := send(t.Context(), p, id); status != policy.ConnectFailed {
		t.Errorf("attempt on a closed connection: got status %d, want ConnectFailed", status)
	}
}

// When the connect timeout expires, the attempt ends with ConnectFailed, its descriptor is released at once, and a connection
// that is established later carries no request. Otherwise a request that counts as not run could still run.
func TestConnectionComesUpTooLate(t *testing.T) {
	l := testutil.Listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) }) // accepts one connection into the backlog only
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	p := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 50 * time.Millisecond, MaxConnections: 10})
	p.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: l.Addr().String()}})
	if status, _ := send(t.Context(), p, 1); status != policy.ConnectFailed {
		t.Errorf("attempt after the connect timeout: got status %d, want ConnectFailed", status)
	}
	if n := p.OpenConnections(); n != 0 {
		t.Errorf("open connections: got %d, want 0", n)
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(1500 * time.Millisecond)) // the kernel would send the next SYN after one second
	for range 2 {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // ends the read of the first connection, which sends nothing
		if text, err := io.ReadAll(nc); len(text) > 0 {
			t.Errorf("bytes on a connection after the timeout: got %q (error %v), want none", text, err)
		}
		nc.Close()
	}
}
