package h1client

import (
	"errors"
	"sync"
)

// tunnel is an upgraded connection to an endpoint. The pool counts it as an open connection until it is closed.
type tunnel struct {
	*conn
	pool      *Pool
	closeOnce sync.Once
}

// Read implements net.Conn. It first returns the bytes that were buffered after the answer's head.
func (t *tunnel) Read(p []byte) (int, error) {
	t.readBudget = maxAnswerBytes // the budget limits answers, not tunnels
	return t.reader.Read(p)
}

// Write implements net.Conn.
func (t *tunnel) Write(p []byte) (int, error) { return t.Conn.Write(p) }

// CloseWrite closes the sending side of the connection to the endpoint. It returns errors.ErrUnsupported if the connection
// can't be closed on one side.
func (t *tunnel) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. It closes the connection and releases it to the pool.
func (t *tunnel) Close() error {
	t.closeOnce.Do(func() { t.pool.release(t.conn, false) })
	return nil
}
