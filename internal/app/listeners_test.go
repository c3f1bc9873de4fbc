package app

import (
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/testutil"
)

// raw sends bytes and gives what comes back until the end, or until a text has come.
func raw(t testing.TB, addr, text, until string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.Patience))
	io.WriteString(nc, text)
	var got strings.Builder
	part := make([]byte, 4096)
	for {
		n, err := nc.Read(part)
		got.Write(part[:n])
		if err != nil || until != "" && strings.Contains(got.String(), until) {
			return got.String()
		}
	}
}

// Listeners come, change under clients that stay, and go; what can't be opened changes nothing.
func TestListenersComeAndGo(t *testing.T) {
	b := testutil.Box(t, "b")
	p := parse(t, program)
	a, err := New(snapshot(p, rooms(at(b))), Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ls := a.NewListeners()
	defer ls.Close()
	free := func() string { // taken by a listener of the app's own at once
		l := testutil.Listen(t)
		defer l.Close()
		return l.Addr().String()
	}
	one := p.Listener
	one.Name, one.Address = "one", free()
	two := one
	two.Name, two.Address = "two", free()
	get := func(addr string) string {
		return raw(t, addr, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "")
	}
	serves := func(addr string) bool {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	}
	if err := ls.Apply([]config.Listener{one}); err != nil || !strings.Contains(get(one.Address), "b served") {
		t.Fatal(err)
	}
	if err := ls.Apply([]config.Listener{one, two}); err != nil || !strings.Contains(get(two.Address), "b served") {
		t.Fatal(err)
	}
	taken := two
	taken.Name, taken.Address = "taken", b.Addr()
	if err := ls.Apply([]config.Listener{taken}); err == nil || !strings.Contains(get(one.Address), "b served") {
		t.Errorf("an address that is taken: %v", err)
	}
	// Another bound on bodies, while clients ask without a pause: none is turned away.
	stop, done := make(chan struct{}), make(chan bool)
	var asked atomic.Int64
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if got := get(one.Address); !strings.Contains(got, "b served") {
				t.Errorf("while the listener changes: %q", got)
			}
			asked.Add(1)
		}
	}()
	for i := range 10 {
		n := asked.Load()
		testutil.Until(t, "another request", func() bool { return asked.Load() > n })
		one.MaxBody = int64(i%2+1) * 10
		if err := ls.Apply([]config.Listener{one, two}); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-done
	if got := raw(t, one.Address, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 25\r\n\r\n", ""); !strings.Contains(got, "413") {
		t.Errorf("a bound of %d: %q", one.MaxBody, got)
	}
	if err := ls.Apply([]config.Listener{two}); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the first to be gone", func() bool { return !serves(one.Address) })
	if !strings.Contains(get(two.Address), "b served") {
		t.Error("the other one is gone too")
	}
}

// scarce is a listener that has no descriptors left for its first calls.
type scarce struct {
	net.Listener
	left atomic.Int64
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// A listener outlives a lack of descriptors.
func TestAcceptGoesOn(t *testing.T) {
	b := testutil.Box(t, "b")
	p := parse(t, program)
	a, err := New(snapshot(p, rooms(at(b))), Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ls := a.NewListeners()
	defer ls.Close()
	l := &scarce{Listener: testutil.Listen(t)}
	l.left.Store(3)
	ls.start(p.Listener, ls.startAcceptor(l))
	if got := raw(t, l.Addr().String(), "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", ""); !strings.Contains(got, "b served") {
		t.Errorf("%q", got)
	}
}
