package h1server

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/upstream/h1client"
)

// tunnelIdleTimeout is how long one direction of an upgraded connection may carry nothing.
const tunnelIdleTimeout = time.Hour

// tunnel joins the client's and the endpoint's connection after an upgrade (RFC 9110, 7.8), until either side ends it.
// The response that upgrades is final. When one side ends its sending, what the other one still sends is forwarded.
func (s *Server) tunnel(control *http.ResponseController, a *h1client.Answer) {
	defer a.Tunnel.Close()
	client, buffered, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer client.Close()
	if !s.registerTunnel(a.Tunnel) {
		return
	}
	defer s.unregisterTunnel(a.Tunnel)
	client.SetDeadline(time.Time{})
	head := &http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header}
	a.Header.Set("Connection", "Upgrade")
	a.Header.Set("Upgrade", a.Upgrade)
	if err := head.Write(client); err != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { s.copyTunnel(a.Tunnel, buffered.Reader, client) })
	directions.Go(func() { s.copyTunnel(client, a.Tunnel, a.Tunnel) })
	directions.Wait()
}

// readDeadliner is a connection whose reads can be given a deadline.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// copyTunnel copies one direction of a tunnel to its end. conn is the connection that from reads.
func (s *Server) copyTunnel(to io.Writer, from io.Reader, conn readDeadliner) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		conn.SetReadDeadline(time.Now().Add(tunnelIdleTimeout))
		n, err := from.Read(*buffer)
		if n > 0 {
			if c, ok := to.(net.Conn); ok {
				c.SetWriteDeadline(time.Now().Add(s.options.StallTimeout))
			}
			if _, writeErr := to.Write((*buffer)[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			endDirection(to, conn, err)
			return
		}
	}
}

// endDirection ends the sending to one side after err. Unless it is io.EOF, both connections are closed, so that the
// other side sees the failure.
func endDirection(to io.Writer, conn readDeadliner, err error) {
	half, ok := to.(interface{ CloseWrite() error })
	if err == io.EOF && ok && half.CloseWrite() == nil {
		return
	}
	if c, ok := to.(io.Closer); ok {
		c.Close()
	}
	if c, ok := conn.(io.Closer); ok {
		c.Close()
	}
}

// registerTunnel notes the upstream side of a tunnel for CloseTunnels. It returns false after CloseTunnels.
func (s *Server) registerTunnel(c io.Closer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tunnels == nil {
		return false
	}
	s.tunnels[c] = struct{}{}
	return true
}

func (s *Server) unregisterTunnel(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, c)
}

// CloseTunnels closes all upgraded connections, and those that are upgraded from now on.
func (s *Server) CloseTunnels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.tunnels {
		c.Close()
	}
	s.tunnels = nil
}
