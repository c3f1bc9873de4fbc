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

func TestConnectFailed(t *testing.T) {
	u, id := poolTo(testutil.RefusingAddr(t))
	if status, _ := send(t.Context(), u, id); status != policy.ConnectFailed {
		t.Errorf("status %d", status)
	}
	if u.connections != 0 {
		t.Errorf("%d connections counted", u.connections)
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
