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

// InheritedSocketEnv is the environment variable with the descriptor of the clients' listening socket,
// where the platform owns it.
const InheritedSocketEnv = "BALANCER_PASSED_SOCKET"

const (
	firstInheritable = 3 // descriptors below it are the standard streams
	maxDescriptor    = 1 << 20
	// closeTimeout bounds the close of an inherited listener.
	closeTimeout = 100 * time.Millisecond
)

// The reasons for which an inherited descriptor is rejected.
var (
	errNoDescriptor = errors.New("not the number of a descriptor above the standard streams")
	errNotOpen      = errors.New("is not open")
	errNoSocket     = errors.New("is no socket")
	errNoTCP        = errors.New("is no TCP socket")
	errNotListening = errors.New("does not listen")
)

// Listen returns the clients' listener: the inherited descriptor (the value of InheritedSocketEnv), or
// for "" a new one at the address. An inherited descriptor that is not a TCP socket listening at the
// address is an error: to listen anew beside a socket of the platform's would fail, or hide that
// clients connect to another one.
//
// The platform's socket outlives this process: closing the listener closes this process's descriptor
// alone.
func Listen(inherited, addr string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", addr)
	}
	l, err := listenInherited(inherited, addr)
	if err != nil {
		return nil, fmt.Errorf("%s=%q: %w", InheritedSocketEnv, inherited, err)
	}
	return l, nil
}

func listenInherited(descriptor, addr string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < firstInheritable || fd > maxDescriptor {
		return nil, errNoDescriptor
	}
	if err := checkListening(fd, addr); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(fd), "clients' listening socket")
	defer file.Close() // FileListener duplicates it, closed on exec
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return &sharedListener{TCPListener: l.(*net.TCPListener)}, nil
}

// sharedListener is a listener whose socket other processes have too. Whoever starts them may make it
// blocking for all (O_NONBLOCK belongs to the socket, not to the descriptor): an Accept then blocks
// its thread until the next connection arrives, and a Close would wait for that.
type sharedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l *sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close implements net.Listener. It returns after closeTimeout at the latest; the caller serves what an
// Accept in progress still returns after it.
func (l *sharedListener) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.TCPListener.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return nil
	}
}

// checkListening returns why a descriptor is not a TCP socket that listens at the address.
func checkListening(fd int, addr string) error {
	if err := checkStream(fd); err != nil {
		return err
	}
	local, err := localAddress(fd)
	if err != nil {
		return err
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	if listening == 0 {
		return errNotListening
	}
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("configured address: %w", err)
	}
	if !addressMatches(local, resolved.AddrPort()) {
		return fmt.Errorf("listens at %v, not at the configured %s", local, addr)
	}
	return nil
}

// checkStream checks that a descriptor is an open stream socket.
func checkStream(fd int) error {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	switch {
	case errors.Is(err, syscall.EBADF):
		return errNotOpen
	case errors.Is(err, syscall.ENOTSOCK):
		return errNoSocket
	case err != nil:
		return fmt.Errorf("socket type: %w", err)
	case kind != syscall.SOCK_STREAM:
		return errNoTCP
	}
	return nil
}

// localAddress returns the address that a TCP socket is bound to.
func localAddress(fd int) (netip.AddrPort, error) {
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("address: %w", err)
	}
	switch a := bound.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errNoTCP
}

// addressMatches reports whether a socket bound to local listens at the configured address, which may
// be any address of a port.
func addressMatches(local, configured netip.AddrPort) bool {
	addr := configured.Addr().Unmap()
	anyAddr := !addr.IsValid() || addr.IsUnspecified()
	return local.Port() == configured.Port() && (anyAddr || local.Addr() == addr)
}
