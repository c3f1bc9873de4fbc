package gracefulclose

import (
	"net"
	"sync"
)

// WrapListener returns a listener that is l except that its first Close calls WaitForBacklog before it closes l.
func WrapListener(l net.Listener) net.Listener { return &listener{Listener: l} }

type listener struct {
	net.Listener
	wait sync.Once
}

// Close implements net.Listener. Only the first call waits for the backlog.
func (l *listener) Close() error {
	l.wait.Do(WaitForBacklog)
	return l.Listener.Close()
}
