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

// A link drops, buffers, resets, delays and throttles what it is set to, each direction alone too.
func TestRelay(t *testing.T) {
	target := testutil.Accept(t, func(nc net.Conn) { io.Copy(nc, nc) }) // an echo
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
			return fmt.Errorf("%q came back", got)
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
		t.Fatal("a good link:", err)
	}
	for _, l := range []Link{{DropOutbound: true}, {DropInbound: true}} {
		r.SetLink(l)
		if err := echo(nc, short); !testutil.IsTimeout(err) {
			t.Errorf("%+v: %v, want silence", l, err)
		}
		r.SetLink(Link{})
		nc.SetDeadline(time.Now().Add(long))
		if _, err := nc.Read(make([]byte, 1)); err == nil || testutil.IsTimeout(err) {
			t.Errorf("%+v: a connection that lost bytes goes on: %v", l, err)
		}
		nc = dial()
		if err := echo(nc, long); err != nil {
			t.Fatalf("after %+v: %v", l, err)
		}
	}
	r.SetLink(Link{Buffer: true})
	if err := echo(nc, short); !testutil.IsTimeout(err) {
		t.Errorf("buffered: %v", err)
	}
	r.SetLink(Link{})
	nc.SetDeadline(time.Now().Add(long))
	if _, err := io.ReadFull(nc, make([]byte, 5)); err != nil {
		t.Error("what was buffered does not come:", err)
	}
	for _, l := range []Link{{Delay: 30 * time.Millisecond}, {Rate: 200}} { // 25 ms a way at 200 bytes a second
		r.SetLink(l)
		began := time.Now()
		if err := echo(nc, long); err != nil || time.Since(began) < 50*time.Millisecond {
			t.Errorf("%+v: %v after %v", l, err, time.Since(began))
		}
	}
	r.SetLink(Link{Reset: true})
	if err := echo(nc, long); err == nil || testutil.IsTimeout(err) {
		t.Errorf("reset: %v", err)
	}
	again, err := net.Dial("tcp", r.Addr)
	if err == nil { // else it is reset as it opens
		defer again.Close()
		err = echo(again, long)
	}
	if err == nil || testutil.IsTimeout(err) {
		t.Errorf("reset, a new connection: %v", err)
	}
}
