package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A relay drops (in each direction alone), buffers, delays, throttles and resets traffic according to its link, and
// resets connections that have lost bytes when the fault ends.
func TestRelay(t *testing.T) {
	target := testutil.Accept(t, func(nc net.Conn) { io.Copy(nc, nc) }) // an echo server
	r, err := NewRelay(target)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	echo := func(nc net.Conn, wait time.Duration) error {
		nc.SetDeadline(time.Now().Add(wait))
		if _, err := nc.Write([]byte("hello")); err != nil {
			return err
		}
		got := make([]byte, 5)
		if _, err := io.ReadFull(nc, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte("hello")) {
			return fmt.Errorf("echo: got %q, want \"hello\"", got)
		}
		return nil
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", r.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	const long, short = 20 * time.Second, 50 * time.Millisecond
	nc := dial()
	if err := echo(nc, long); err != nil {
		t.Fatal("echo over a link without faults:", err)
	}
	for _, l := range []Link{{DropOutbound: true}, {DropInbound: true}} {
		r.SetLink(l)
		if err := echo(nc, short); !testutil.IsTimeout(err) {
			t.Errorf("%+v: got error %v, want a timeout", l, err)
		}
		r.SetLink(Link{})
		nc.SetDeadline(time.Now().Add(long))
		if _, err := nc.Read(make([]byte, 1)); err == nil || testutil.IsTimeout(err) {
			t.Errorf("%+v: a connection that lost bytes was not reset after the fault: got read error %v", l, err)
		}
		nc = dial()
		if err := echo(nc, long); err != nil {
			t.Fatalf("echo over a new connection after %+v: %v", l, err)
		}
	}
	r.SetLink(Link{Buffer: true})
	if err := echo(nc, short); !testutil.IsTimeout(err) {
		t.Errorf("buffering link: got error %v, want a timeout", err)
	}
	r.SetLink(Link{})
	nc.SetDeadline(time.Now().Add(long))
	if _, err := io.ReadFull(nc, make([]byte, 5)); err != nil {
		t.Error("reading the buffered bytes after the fault ended:", err)
	}
	for _, l := range []Link{{Delay: 30 * time.Millisecond}, {Rate: 200}} { // 5 bytes take 25 ms each way at 200 bytes/s
		r.SetLink(l)
		began := time.Now()
		if err := echo(nc, long); err != nil || time.Since(began) < 50*time.Millisecond {
			t.Errorf("%+v: got error %v after %v, want an echo after at least 50ms", l, err, time.Since(began))
		}
	}
	r.SetLink(Link{Reset: true})
	if err := echo(nc, long); err == nil || testutil.IsTimeout(err) {
		t.Errorf("resetting link, open connection: got error %v, want a reset", err)
	}
	again, err := net.Dial("tcp", r.Addr)
	if err == nil { // otherwise the connection was reset during the dial
		defer again.Close()
		err = echo(again, long)
	}
	if err == nil || testutil.IsTimeout(err) {
		t.Errorf("resetting link, new connection: got error %v, want a reset", err)
	}
}
