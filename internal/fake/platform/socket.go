package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// openSocket chooses the clients' address. With Options.PassSocket its socket stays open to be passed to processes.
func (p *Platform) openSocket() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close() // the copy stays open
	p.Addr = listener.Addr().String()
	if !p.options.PassSocket {
		return nil
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var copyErr error
	err = raw.Control(func(fd uintptr) {
		p.socket, copyErr = copySocket(fd)
	})
	return errors.Join(err, copyErr)
}

// copySocket returns a file of a copy of a descriptor, which is blocking. When os/exec passes a file on it makes its
// descriptor blocking, and with it the socket for every process that has it; it leaves a file alone that is blocking
// when it is made.
func copySocket(fd uintptr) (*os.File, error) {
	copied, err := syscall.Dup(int(fd))
	if err != nil {
		return nil, err
	}
	err = syscall.SetNonblock(copied, false)
	return os.NewFile(uintptr(copied), "clients"), err
}

// ReleaseSocket closes the platform's copy of the clients' socket. Connections that wait in its queue end with the
// last process that has it.
func (p *Platform) ReleaseSocket() {
	if p.socket != nil {
		p.socket.Close()
	}
}
