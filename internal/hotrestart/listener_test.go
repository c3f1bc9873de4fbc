package hotrestart

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"yokestall/internal/testutil"
)

// inheritable returns the address of a listening socket, and a function that returns the number of a new
// descriptor of the socket, as the platform passes it. Each call of pass duplicates the descriptor, since
// Listen closes the descriptor that it gets.
func inheritable(t *testing.T) (addr string, pass func() string) {
	l := testutil.Listen(t).(*net.TCPListener)
	file, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	fd := int(file.Fd())
	return l.Addr().String(), func() string {
		n, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return strconv.Itoa(n)
	}
}

func TestListen(t *testing.T) {
	addr, pass := inheritable(t)
	bound := func(kind int) string {
		n, err := syscall.Socket(syscall.AF_INET, kind, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { syscall.Close(n) })
		return strconv.Itoa(n)
	}
	plain, err := os.Create(filepath.Join(t.TempDir(), "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	for _, c := range []struct{ value, addr, want string }{
		{"three", addr, "not the number"},
		{"1", addr, "not the number"},
		{"-3", addr, "not the number"},
		{"9999", addr, "is not open"},
		{strconv.Itoa(int(plain.Fd())), addr, "is no socket"},
		{bound(syscall.SOCK_DGRAM), addr, "is no TCP socket"},
		{bound(syscall.SOCK_STREAM), addr, "does not listen"},
		{pass(), "127.0.0.2:1", "not at the configured"},
	} {
		l, err := Listen(c.value, c.addr)
		if err == nil {
			l.Close()
			t.Fatalf("Listen accepted descriptor %s, want an error", c.value)
		}
		if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), InheritedSocketEnv) {
			t.Errorf("descriptor %s: got error %v, want one with %q and the name of the environment variable", c.value, err, c.want)
		}
	}
	for range 2 { // the second listener accepts too, since closing the first leaves the socket open
		l, err := Listen(pass(), addr)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		got, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		nc.Close()
		l.Close()
	}
}

// Close returns also while Accept blocks on a socket that another process has made blocking.
func TestCloseOfBlockingSocket(t *testing.T) {
	addr, pass := inheritable(t)
	l, err := Listen(pass(), addr)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*sharedListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) })
	if err != nil {
		t.Fatal(err)
	}
	started, accepted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(accepted)
		close(started)
		// TCPListener.Accept does not make the socket non-blocking again. It stands for a sharedListener.Accept
		// that was already waiting when the socket was made blocking.
		if nc, err := l.(*sharedListener).TCPListener.Accept(); err == nil {
			nc.Close()
		}
	}()
	<-started // Close has to return whether or not Accept has reached the kernel
	closed := make(chan struct{})
	go func() { l.Close(); close(closed) }()
	testutil.Wait(t, closed, "Close to return")
	if nc, err := net.Dial("tcp", addr); err == nil { // releases Accept
		nc.Close()
	}
	testutil.Wait(t, accepted, "Accept to return")
}
