package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"
)

// PassedSocket names the descriptor of the clients' listening socket where the platform holds it.
const PassedSocket = "BALANCER_PASSED_SOCKET"

// Listen takes the clients' listening socket: the descriptor that the platform has passed (the value
// of PassedSocket), or where that is "" one of its own at the address. A descriptor that is not what it should be is an
// error that says so: to listen anew beside a socket that the platform holds would fail, or hide
// that clients connect to another one.
//
// The platform's socket outlives this process's use of it: closing the listener closes this
// process's descriptor alone.
func Listen(passed, addr string) (net.Listener, error) {
	if passed == "" {
		return net.Listen("tcp", addr)
	}
	l, err := inherit(passed, addr)
	if err != nil {
		return nil, fmt.Errorf("%s=%q: %w", PassedSocket, passed, err)
	}
	return l, nil
}

func inherit(name, addr string) (net.Listener, error) {
	fd, err := strconv.Atoi(name)
	if err != nil || fd < 3 || fd > 1<<20 {
		return nil, errors.New("not the number of a descriptor above the standard streams")
	}
	if err := check(fd, addr); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	f := os.NewFile(uintptr(fd), "clients' listening socket")
	defer f.Close() // FileListener has a copy, which no program that this one may start inherits
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return &sharedListener{TCPListener: l.(*net.TCPListener)}, nil
}

// closeTime is how long closing a shared listener may take.
const closeTime = 100 * time.Millisecond

// sharedListener is a listener whose socket other processes have too. Whoever starts them may make it
// blocking for all (O_NONBLOCK belongs to the socket, not to the descriptor): an Accept then holds
// its thread until the next connection comes, and a Close would wait for that.
type sharedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l *sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close implements net.Listener. What an Accept still takes after it is its caller's to serve.
func (l *sharedListener) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.TCPListener.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTime):
		return nil
	}
}

// check tells what a descriptor is if it is not a TCP socket that listens at the address.
func check(fd int, addr string) error {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	switch {
	case errors.Is(err, syscall.EBADF):
		return errors.New("is not open")
	case errors.Is(err, syscall.ENOTSOCK):
		return errors.New("is no socket")
	case err != nil:
		return fmt.Errorf("socket type: %w", err)
	case kind != syscall.SOCK_STREAM:
		return errors.New("is no TCP socket")
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	var at netip.AddrPort
	switch a := bound.(type) {
	case *syscall.SockaddrInet4:
		at = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		at = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	default:
		return errors.New("is no TCP socket")
	}
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return fmt.Errorf("listening: %w", err)
	} else if on == 0 {
		return errors.New("does not listen")
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("configured address: %w", err)
	}
	wanted := want.AddrPort()
	wanted = netip.AddrPortFrom(wanted.Addr().Unmap(), wanted.Port())
	if any := !wanted.Addr().IsValid() || wanted.Addr().IsUnspecified(); wanted.Port() != at.Port() || !any && wanted.Addr() != at.Addr() {
		return fmt.Errorf("listens at %v, not at the configured %s", at, addr)
	}
	return nil
}
