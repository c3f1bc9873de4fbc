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

// exchangeRaw sends text over a new connection. It returns the bytes received until the connection ends, or until they
// contain the text until, if that is not empty.
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

// getRequest is a request after whose answer the server closes the connection.
const getRequest = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// rawGet sends getRequest and returns the answer.
func rawGet(t testing.TB, addr string) string {
	t.Helper()
	return exchangeRaw(t, addr, getRequest, "")
}

// freeAddress returns an address at which nothing listens. The caller should listen on it at once, before another process
// does.
func freeAddress(t testing.TB) string {
	t.Helper()
	l := testutil.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

// isListening reports whether a connection to addr can be opened.
func isListening(addr string) bool {
	nc, err := net.Dial("tcp", addr)
	if err == nil {
		nc.Close()
	}
	return err == nil
}

// sendContinuously sends getRequest repeatedly until stop is called, and checks that each answer contains want. sent is
// the number of answers so far.
func sendContinuously(t *testing.T, addr, want string) (sent *atomic.Int64, stop func()) {
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
				t.Errorf("while the listener changes: answer %q, want %q in it", got, want)
			}
			sent.Add(1)
		}
	}()
	return sent, func() {
		close(stopping)
		<-done
	}
}

// Listeners are added, changed while clients send requests, and removed. A listener that can't be opened must leave the
// others unchanged.
func TestListenersComeAndGo(t *testing.T) {
	const want = "b served"
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a := newApp(t, newConfiguration(p, roomsCluster(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t)})
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
		t.Errorf("an address in use: error %v, want an error and the other listener unchanged", err)
	}
	// The limit of bodies changes while clients send requests continuously. No request may be rejected.
	sent, stop := sendContinuously(t, one.Address, want)
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
		t.Errorf("a body of 25 bytes with a limit of %d: answer %q, want status 413", one.MaxBody, got)
	}
	if err := apply(two); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the first listener to be closed", func() bool { return !isListening(one.Address) })
	if !strings.Contains(rawGet(t, two.Address), want) {
		t.Error("the second listener does not serve requests after the first was removed")
	}
}

// failingListener is a listener whose first calls of Accept fail because of a lack of file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64 // number of calls that still fail
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// An acceptor must continue after accept failed because of a lack of file descriptors.
func TestAcceptGoesOn(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a := newApp(t, newConfiguration(p, roomsCluster(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t)})
	listeners := openListeners(t, a)
	l := &failingListener{Listener: testutil.Listen(t)}
	l.failures.Store(3)
	listeners.start(p.Listener, listeners.startAcceptor(l))
	if got := rawGet(t, l.Addr().String()); !strings.Contains(got, "b served") {
		t.Errorf("answer %q, want %q in it", got, "b served")
	}
}
