package gracefulclose

import (
	"net"
	"sync"
)

// WrapListener gives a listener whose first Close waits until the backlog was accepted.
func WrapListener(l net.Listener) net.Listener { return &listener{Listener: l} }

type listener struct {
	net.Listener
	wait sync.Once
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.wait.Do(WaitForBacklog)
	return l.Listener.Close()
}
