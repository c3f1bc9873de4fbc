package h1server

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/upstream/h1client"
)

// tunnelIdleTimeout is how long one direction of an upgraded connection may transfer no data.
const tunnelIdleTimeout = time.Hour

// tunnel forwards data between the client and the endpoint after an upgrade (RFC 9110, 7.8), until both directions have
// ended. The endpoint's response to the upgrade is the request's final answer. When one side ends its sending, the data
// that the other side still sends is forwarded.
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
	response := &http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header}
	a.Header.Set("Connection", "Upgrade")
	a.Header.Set("Upgrade", a.Upgrade)
	if err := response.Write(client); err != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { s.copyTunnel(a.Tunnel, buffered.Reader, client) })
	directions.Go(func() { s.copyTunnel(client, a.Tunnel, a.Tunnel) })
	directions.Wait()
}

// readDeadliner is a connection that has a read deadline.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// copyTunnel copies one direction of a tunnel from src to dst until it ends. conn is the connection that src reads;
// copyTunnel sets its read deadline.
func (s *Server) copyTunnel(dst io.Writer, src io.Reader, conn readDeadliner) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		conn.SetReadDeadline(time.Now().Add(tunnelIdleTimeout))
		n, err := src.Read(*buffer)
		if n > 0 {
			if c, ok := dst.(net.Conn); ok {
				c.SetWriteDeadline(time.Now().Add(s.options.StallTimeout))
			}
			if _, writeErr := dst.Write((*buffer)[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			endDirection(dst, conn, err)
			return
		}
	}
}

// endDirection ends the direction of a tunnel from conn to dst after err. If err is io.EOF, it closes only the sending
// side of dst, if dst supports this. Otherwise it closes both connections, so that the other side notices the failure.
func endDirection(dst io.Writer, conn readDeadliner, err error) {
	half, ok := dst.(interface{ CloseWrite() error })
	if err == io.EOF && ok && half.CloseWrite() == nil {
		return
	}
	if c, ok := dst.(io.Closer); ok {
		c.Close()
	}
	if c, ok := conn.(io.Closer); ok {
		c.Close()
	}
}

// registerTunnel records the endpoint's connection of a tunnel for CloseTunnels. It returns false after CloseTunnels.
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

// CloseTunnels closes all tunnels. Connections that are upgraded later are closed at once.
func (s *Server) CloseTunnels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.tunnels {
		c.Close()
	}
	s.tunnels = nil
}
