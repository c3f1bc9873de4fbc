// Package testutil holds what the tests of several packages need: waiting for an event,
// scripted servers, and the log of a program under test. Nothing in it sleeps for a
// fixed time to see whether something happens, and no port is taken and given back.
package testutil

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"yokestall/internal/fake/appbox"
)

// Patience is how long a test waits for what must happen. It ends a failure; it is
// never a pace, and no test passes by waiting it out.
const Patience = 30 * time.Second

// Main runs a package's tests and then looks for goroutines that none of them ended.
func Main(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		err := goleak.Find()
		for try := 0; err != nil && try < 5; try++ { // net/http waits 500 ms behind some closes
			err = goleak.Find()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "goroutines are left:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// asProgram has a test's own program be the one under test.
const asProgram = "YOKESTALL_TEST_AS_PROGRAM"

// Itself is the command, with its environment, by which a test starts the program that its package's
// TestMain gave to MainOr.
func Itself() (command, env []string) { return []string{os.Args[0]}, []string{asProgram + "=1"} }

// MainOr is Main, or the program itself where a test has started it.
func MainOr(m *testing.M, program func()) {
	if os.Getenv(asProgram) != "" {
		program()
		os.Exit(0)
	}
	Main(m)
}

// Wait gives the next value of a channel.
func Wait[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Until waits for a condition that no event tells of.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Listen takes a free port of 127.0.0.1 until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// RefusingAddr gives an address that refuses connections until the test ends. Its port
// is bound and not listened on, so nobody else can come to have it meanwhile.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// IsTimeout tells whether an error is a socket's deadline.
func IsTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Backend is an HTTP server that tells the test what reaches it.
type Backend struct {
	*httptest.Server
	Got chan *http.Request // whole requests, as far as there is room for 1,000
}

// NewBackend starts a server that handles requests whose bodies were read.
func NewBackend(t testing.TB, handle http.HandlerFunc) *Backend {
	b := &Backend{Got: make(chan *http.Request, 1000)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		b.Got <- r
		handle(w, r)
	}))
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return b
}

// Addr is where the server listens.
func (b *Backend) Addr() string { return b.Listener.Addr().String() }

// OK answers 200 with the body "done".
func OK(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

// Accept has each connection of a listener handled on a goroutine of its own, and closed then.
// All end with the test, or after Patience.
func Accept(t testing.TB, handle func(nc net.Conn)) (addr string) {
	l := Listen(t)
	var open sync.Map
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil { // the test has ended
				open.Range(func(nc, _ any) bool { nc.(net.Conn).Close(); return true })
				return
			}
			open.Store(nc, nil)
			nc.SetDeadline(time.Now().Add(Patience))
			go func() {
				defer nc.Close()
				defer open.Delete(nc)
				handle(nc)
			}()
		}
	}()
	return l.Addr().String()
}

// Script is a server that reads a request and writes fixed bytes; then it closes, or
// keeps the connection for another request. It tells of its connections.
func Script(t testing.TB, answer string, closes bool) (addr string, conns chan net.Conn) {
	conns = make(chan net.Conn, 100)
	return Accept(t, func(nc net.Conn) {
		conns <- nc
		in := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(nc, answer)
			if closes {
				return
			}
		}
	}), conns
}

// Box starts a stand-in app box.
func Box(t testing.TB, name string) *appbox.Box {
	t.Helper()
	b, err := appbox.Start(name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Down)
	return b
}

// Logs is the log of a program under test. Its lines go to the test's own output, which
// shows them only where the test fails.
type Logs struct {
	t testing.TB

	mu      sync.Mutex
	text    bytes.Buffer
	changed chan struct{} // closed at the next line
	over    bool          // the test has ended: t takes no more
}

// NewLogs makes a log that ends with the test.
func NewLogs(t testing.TB) *Logs {
	l := &Logs{t: t, changed: make(chan struct{})}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.over = true
	})
	return l
}

// Quiet is a logger for what would be thousands of lines.
var Quiet = slog.New(slog.DiscardHandler)

// Log gives a logger whose lines go to the test's own output.
func Log(t testing.TB) *slog.Logger { return NewLogs(t).Logger() }

// Logger gives the logger that writes to it.
func (l *Logs) Logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// Write implements io.Writer.
func (l *Logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.t.Logf("%s", bytes.TrimRight(p, "\n"))
	}
	l.text.Write(p)
	close(l.changed)
	l.changed = make(chan struct{})
	return len(p), nil
}

// String gives all lines so far.
func (l *Logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Wait waits until a text stands in the log, and gives the line.
func (l *Logs) Wait(text string) string {
	l.t.Helper()
	timeout := time.After(Patience)
	for {
		l.mu.Lock()
		all, changed := l.text.String(), l.changed
		l.mu.Unlock()
		for line := range strings.Lines(all) {
			if strings.Contains(line, text) {
				return line
			}
		}
		select {
		case <-changed:
		case <-timeout:
			l.t.Fatalf("%q never stands in the log:\n%s", text, all)
		}
	}
}

// Lateness measures how late the machine is from now on: the function that it gives says by how much the latest of all
// ticks was. A test whose verdict rests on when something was done asks it before it blames the program.
func Lateness(t testing.TB) func() time.Duration {
	const every = 5 * time.Millisecond
	var worst atomic.Int64
	stop := make(chan struct{})
	var run sync.WaitGroup
	run.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				now := time.Now()
				worst.Store(max(worst.Load(), int64(now.Sub(last)-every)))
				last = now
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		run.Wait()
	})
	return func() time.Duration { return time.Duration(worst.Load()) }
}
