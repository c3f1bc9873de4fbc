package h1server

import "net"

// limitedListener gives each connection that it accepts a place in the table of client connections.
type limitedListener struct {
	net.Listener
	conns *clientConns
}

// Listener returns a listener that accepts connections from l within the server's connection limits.
func (s *Server) Listener(l net.Listener) net.Listener { return limitedListener{l, s.conns} }

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// Close implements net.Listener.
func (l limitedListener) Close() error {
	l.conns.closeListener.Do(func() { close(l.conns.listenerClosed) })
	return l.Listener.Close()
}
