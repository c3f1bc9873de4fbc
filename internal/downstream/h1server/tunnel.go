package h1server

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/upstream/h1client"
)

// tunnelIdle is how long one side of an upgraded connection may say nothing.
const tunnelIdle = time.Hour

// tunnel carries an upgraded connection (RFC 9110, 7.8) until either side ends it. The answer
// that upgrades is final; what follows is the client's and the server's own matter. What a
// side has still to say when the other one ends its sending is passed on.
func (f *Server) tunnel(control *http.ResponseController, a *h1client.Answer) {
	defer a.Tunnel.Close()
	client, buffered, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer client.Close()
	if !f.hold(a.Tunnel) {
		return
	}
	defer f.release(a.Tunnel)
	client.SetDeadline(time.Time{})
	head := &http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header}
	a.Header.Set("Connection", "Upgrade")
	a.Header.Set("Upgrade", a.Upgrade)
	if err := head.Write(client); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { f.forward(a.Tunnel, buffered.Reader, client) })
	both.Go(func() { f.forward(client, a.Tunnel, a.Tunnel) })
	both.Wait()
}

// forward copies what one side says to the other, to its end; the deadline is the reader's.
func (f *Server) forward(to io.Writer, from io.Reader, deadline interface{ SetReadDeadline(time.Time) error }) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		deadline.SetReadDeadline(time.Now().Add(tunnelIdle))
		n, err := from.Read(*buffer)
		if n > 0 {
			if c, ok := to.(net.Conn); ok {
				c.SetWriteDeadline(time.Now().Add(f.options.StallTimeout))
			}
			if _, werr := to.Write((*buffer)[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		half, ok := to.(interface{ CloseWrite() error })
		if err != io.EOF || !ok || half.CloseWrite() != nil { // broken: the other one must see it
			if c, ok := to.(io.Closer); ok {
				c.Close()
			}
			if c, ok := deadline.(io.Closer); ok {
				c.Close()
			}
		}
		return
	}
}

func (f *Server) hold(c io.Closer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tunnels == nil {
		return false
	}
	f.tunnels[c] = struct{}{}
	return true
}

func (f *Server) release(c io.Closer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.tunnels, c)
}

// CloseTunnels ends all upgraded connections, and takes no more.
func (f *Server) CloseTunnels() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.tunnels {
		c.Close()
	}
	f.tunnels = nil
}
