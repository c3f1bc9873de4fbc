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

// connPair returns a meter and the two ends of a loopback connection whose traffic the meter counts at both ends. near is
// dialed from the given region, and far is accepted in region 0.
func connPair(t *testing.T, region int) (m *Meter, near, far net.Conn) {
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

// The meter counts each byte at both ends of a connection, and retains a connection's packet counts after it is closed.
func TestMeterCounts(t *testing.T) {
	m, near, far := connPair(t, 0)
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
		t.Errorf("got report %+v, want 5 bytes from the dialing end, 3 bytes back and one connection at each end", r)
	}
	if r.Dialed.PacketsIn < 2 || r.Dialed.PacketsOut < 2 || r.CPU <= 0 || r.Memory < 1<<20 {
		t.Errorf("got report %+v, want 2 packets or more each way, CPU time and 1 MB of memory or more", r)
	}
	near.Close()
	far.Close()
	after, _ := m.Report()
	if after.Dialed.PacketsIn < r.Dialed.PacketsIn || after.Accepted.PacketsOut < r.Accepted.PacketsOut ||
		after.Dialed.Out != 5 {
		t.Errorf("got report %+v after the close, want the counts of the report before it, %+v", after, r)
	}
}

// During a partition, connections to another region carry nothing and no connection to it is made. Data that was held back
// arrives after the partition. Closing a connection during a partition ends a write that waits on it.
func TestMeterPartition(t *testing.T) {
	m, near, far := connPair(t, 1)
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
		t.Errorf("dialing during a partition: got error %v, want %v", err, context.DeadlineExceeded)
	}
	select {
	case err := <-written:
		t.Errorf("a write returned during a partition, with error %v", err)
	default:
	}
	m.SetPartitioned(false)
	if err := testutil.Wait(t, written, "the end of the write"); err != nil {
		t.Errorf("a write that ended after the partition: got error %v, want none", err)
	}
	b := make([]byte, 4)
	if _, err := io.ReadFull(far, b); err != nil || string(b) != "late" {
		t.Errorf("the accepting end read %q (error %v), want \"late\"", b, err)
	}
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "wait" {
		t.Errorf("the dialing end read %q (error %v), want \"wait\"", b, err)
	}
	m.SetPartitioned(true)
	go func() {
		_, err := io.WriteString(near, "never")
		written <- err
	}()
	near.Close()
	if err := testutil.Wait(t, written, "the end of the write"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a write on a connection that was closed: got error %v, want %v", err, net.ErrClosed)
	}
}
