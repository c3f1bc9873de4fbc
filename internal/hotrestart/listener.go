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

// InheritedSocketEnv is the environment variable that has the number of the descriptor of the clients'
// listening socket, if the platform owns that socket.
const InheritedSocketEnv = "BALANCER_PASSED_SOCKET"

const (
	firstInheritable = 3 // descriptors 0 to 2 are the standard streams
	maxDescriptor    = 1 << 20
	// closeTimeout bounds the close of an inherited listener.
	closeTimeout = 100 * time.Millisecond
)

// The errors for which Listen rejects an inherited descriptor. Operators see their texts.
var (
	errNoDescriptor = errors.New("not the number of a descriptor above the standard streams (0 to 2)")
	errNotOpen      = errors.New("is not open")
	errNoSocket     = errors.New("is no socket")
	errNoTCP        = errors.New("is no TCP socket")
	errNotListening = errors.New("does not listen")
)

// Listen returns the listener for clients. inherited is the value of InheritedSocketEnv: the number of
// an inherited descriptor, or "" to open a new listening socket at the address. Listen returns an error
// for an inherited descriptor that is not a TCP socket listening at the address, and does not open a new
// socket instead: opening one beside the platform's socket would fail, or hide that clients connect to
// another socket.
//
// Closing a listener of an inherited descriptor closes only this process's descriptor: the platform's
// socket outlives this process.
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
	defer file.Close() // FileListener uses a duplicate of the descriptor, which is closed on exec
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return &sharedListener{TCPListener: l.(*net.TCPListener)}, nil
}

// sharedListener is a listener whose socket is open in other processes too. The process that starts
// them may make the socket blocking in all of them, since O_NONBLOCK is a flag of the socket and not of
// the descriptor. Accept then blocks its thread until the next connection arrives, and Close of a plain
// net.TCPListener would wait for that connection.
type sharedListener struct{ *net.TCPListener }

// Accept implements net.Listener. It first makes the socket non-blocking again.
func (l *sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close implements net.Listener. It returns after closeTimeout at the latest. An Accept in progress may
// return a connection after Close has returned; the caller must serve that connection.
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

// checkListening returns an error if a descriptor is not a TCP socket that listens at the address.
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
		return fmt.Errorf("reading whether the socket listens: %w", err)
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

// checkStream returns an error if a descriptor is not an open stream socket.
func checkStream(fd int) error {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	switch {
	case errors.Is(err, syscall.EBADF):
		return errNotOpen
	case errors.Is(err, syscall.ENOTSOCK):
		return errNoSocket
	case err != nil:
		return fmt.Errorf("reading the socket's type: %w", err)
	case kind != syscall.SOCK_STREAM:
		return errNoTCP
	}
	return nil
}

// localAddress returns the address that a TCP socket is bound to.
func localAddress(fd int) (netip.AddrPort, error) {
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("reading the address that the socket is bound to: %w", err)
	}
	switch a := bound.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errNoTCP
}

// addressMatches reports whether a socket that is bound to local listens at the configured address. A
// configured address with an unspecified IP address matches all local addresses with its port.
func addressMatches(local, configured netip.AddrPort) bool {
	addr := configured.Addr().Unmap()
	anyAddr := !addr.IsValid() || addr.IsUnspecified()
	return local.Port() == configured.Port() && (anyAddr || local.Addr() == addr)
}
