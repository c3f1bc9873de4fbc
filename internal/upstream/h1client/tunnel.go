package h1client

import (
	"errors"
	"sync"
)

// tunnel is an upgraded connection to an endpoint. It counts among the pool's connections until it is closed.
type tunnel struct {
	*conn
	pool      *Pool
	closeOnce sync.Once
}

// Read implements net.Conn. What was buffered behind the answer's head comes first.
func (t *tunnel) Read(p []byte) (int, error) {
	t.readBudget = maxAnswerBytes // limits answers, not tunnels
	return t.reader.Read(p)
}

// Write implements net.Conn.
func (t *tunnel) Write(p []byte) (int, error) { return t.Conn.Write(p) }

// CloseWrite ends the sending to the endpoint. The error is errors.ErrUnsupported where the connection can't.
func (t *tunnel) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (t *tunnel) Close() error {
	t.closeOnce.Do(func() { t.pool.release(t.conn, false) })
	return nil
}
