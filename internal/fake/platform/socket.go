package platform

import (
	"errors"
	"net"
	"os"
	"syscall"

	"yokestall/internal/fake/loopback"
)

// openSocket chooses a free address for clients. With Options.PassSocket, the platform keeps the listening socket open
// and passes it to processes.
func (p *Platform) openSocket() error {
	listener, err := loopback.Listen()
	if err != nil {
		return err
	}
	defer listener.Close() // p.socket is a duplicate that stays open
	p.Addr = listener.Addr().String()
	if !p.options.PassSocket {
		return nil
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var dupErr error
	err = raw.Control(func(fd uintptr) {
		p.socket, dupErr = duplicateSocket(fd)
	})
	return errors.Join(err, dupErr)
}

// duplicateSocket returns a file for a duplicate of the descriptor fd, and makes the socket blocking. When os/exec passes a
// non-blocking file to a process, it makes the descriptor blocking, and thereby the socket in every process that shares
// the socket. It does not change a file that was blocking when it was created.
func duplicateSocket(fd uintptr) (*os.File, error) {
	copied, err := syscall.Dup(int(fd))
	if err != nil {
		return nil, err
	}
	err = syscall.SetNonblock(copied, false)
	return os.NewFile(uintptr(copied), "clients"), err
}

// ReleaseSocket closes the platform's descriptor of the listening socket for clients. Connections in the accept queue
// then end with the last process that holds the socket.
func (p *Platform) ReleaseSocket() {
	if p.socket != nil {
		p.socket.Close()
	}
}
