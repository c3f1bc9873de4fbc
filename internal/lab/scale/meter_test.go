package scale

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/testutil"
)

// pair is a connection over loopback whose two ends are counted; the first dials from a region, the second listens in
// region 0.
func pair(t *testing.T, region int) (m *Meter, near, far net.Conn) {
	l := testutil.Listen(t)
	m = NewMeter([]agent.VoterAddress{{Name: "v0", Address: l.Addr().String()}}, 2)
	accepted := make(chan net.Conn)
	go func() {
		c, err := m.Listener(l).Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	near, err := m.Dialer(region)(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far = testutil.Wait(t, accepted, "a connection")
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return m, near, far
}

// Each byte is counted at both ends, and a connection's packets still count after it is closed.
func TestMeterCounts(t *testing.T) {
	m, near, far := pair(t, 0)
	io.WriteString(near, "12345")
	if _, err := io.ReadFull(far, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "123")
	if _, err := io.ReadFull(near, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	r, err := m.Report()
	if err != nil {
		t.Fatal(err)
	}
	if r.Dialed.In != 3 || r.Dialed.Out != 5 || r.Accepted.In != 5 || r.Accepted.Out != 3 ||
		r.Dialed.Connections != 1 || r.Accepted.Connections != 1 {
		t.Errorf("%+v", r)
	}
	if r.Dialed.PacketsIn < 2 || r.Dialed.PacketsOut < 2 || r.CPU <= 0 || r.Memory < 1<<20 {
		t.Errorf("%+v", r)
	}
	near.Close()
	far.Close()
	after, _ := m.Report()
	if after.Dialed.PacketsIn < r.Dialed.PacketsIn || after.Accepted.PacketsOut < r.Accepted.PacketsOut ||
		after.Dialed.Out != 5 {
		t.Errorf("%+v after %+v", after, r)
	}
}

// During a partition a connection to another region carries nothing, and none is made; what waited arrives after it. A
// connection that is closed meanwhile does not wait.
func TestMeterPartition(t *testing.T) {
	m, near, far := pair(t, 1)
	m.SetPartitioned(true)
	m.SetPartitioned(true)
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(near, "late")
		written <- err
	}()
	io.WriteString(far, "wait")
	ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	if _, err := m.Dialer(1)(ctx, far.LocalAddr().String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a connection during a partition: %v", err)
	}
	select {
	case err := <-written:
		t.Errorf("written during a partition: %v", err)
	default:
	}
	m.SetPartitioned(false)
	if err := testutil.Wait(t, written, "the write"); err != nil {
		t.Error(err)
	}
	b := make([]byte, 4)
	if _, err := io.ReadFull(far, b); err != nil || string(b) != "late" {
		t.Errorf("%q, %v", b, err)
	}
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "wait" {
		t.Errorf("%q, %v", b, err)
	}
	m.SetPartitioned(true)
	go func() {
		_, err := io.WriteString(near, "never")
		written <- err
	}()
	near.Close()
	if err := testutil.Wait(t, written, "the end"); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
