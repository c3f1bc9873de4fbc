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

// exchangeRaw sends bytes and returns what comes back until the end, or until a text has come.
func exchangeRaw(t testing.TB, addr, text, until string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
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

// getRequest is a request after which the connection ends.
const getRequest = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// rawGet sends getRequest and returns the answer.
func rawGet(t testing.TB, addr string) string {
	t.Helper()
	return exchangeRaw(t, addr, getRequest, "")
}

// freeAddress returns an address at which nothing listens; the caller listens on it at once.
func freeAddress(t testing.TB) string {
	t.Helper()
	l := testutil.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

// accepts reports whether something listens on an address.
func accepts(addr string) bool {
	nc, err := net.Dial("tcp", addr)
	if err == nil {
		nc.Close()
	}
	return err == nil
}

// getWithoutPause sends getRequest over and over until stop is called, and checks each answer. sent counts them.
func getWithoutPause(t *testing.T, addr, want string) (sent *atomic.Int64, stop func()) {
	t.Helper()
	stopping, done := make(chan struct{}), make(chan struct{})
	sent = &atomic.Int64{}
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			default:
			}
			if got := rawGet(t, addr); !strings.Contains(got, want) {
				t.Errorf("while the listener changes: %q", got)
			}
			sent.Add(1)
		}
	}()
	return sent, func() {
		close(stopping)
		<-done
	}
}

// Listeners are added, changed under clients that stay, and removed; one that can't be opened changes nothing.
func TestListenersComeAndGo(t *testing.T) {
	const want = "b served"
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a := newApp(t, snapshot(p, rooms(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t)})
	listeners := openListeners(t, a)
	apply := func(list ...config.Listener) error { return listeners.Apply(list) }
	one := p.Listener
	one.Name, one.Address = "one", freeAddress(t)
	two := one
	two.Name, two.Address = "two", freeAddress(t)
	if err := apply(one); err != nil || !strings.Contains(rawGet(t, one.Address), want) {
		t.Fatal(err)
	}
	if err := apply(one, two); err != nil || !strings.Contains(rawGet(t, two.Address), want) {
		t.Fatal(err)
	}
	taken := two
	taken.Name, taken.Address = "taken", b.Addr()
	if err := apply(taken); err == nil || !strings.Contains(rawGet(t, one.Address), want) {
		t.Errorf("an address that is taken: %v", err)
	}
	// Another bound on bodies, while clients send without a pause: none is rejected.
	sent, stop := getWithoutPause(t, one.Address, want)
	for i := range 10 {
		n := sent.Load()
		testutil.Until(t, "another request", func() bool { return sent.Load() > n })
		one.MaxBody = int64(i%2+1) * 10
		if err := apply(one, two); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	got := exchangeRaw(t, one.Address, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 25\r\n\r\n", "")
	if !strings.Contains(got, "413") {
		t.Errorf("a bound of %d: %q", one.MaxBody, got)
	}
	if err := apply(two); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the first to be closed", func() bool { return !accepts(one.Address) })
	if !strings.Contains(rawGet(t, two.Address), want) {
		t.Error("the other one is closed too")
	}
}

// failingListener is a listener whose first calls of Accept fail for lack of descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64 // that remain
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A listener goes on after a lack of descriptors.
func TestAcceptGoesOn(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a := newApp(t, snapshot(p, rooms(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t)})
	listeners := openListeners(t, a)
	l := &failingListener{Listener: testutil.Listen(t)}
	l.failures.Store(3)
	listeners.start(p.Listener, listeners.startAcceptor(l))
	if got := rawGet(t, l.Addr().String()); !strings.Contains(got, "b served") {
		t.Errorf("%q", got)
	}
}
