package h1client

import (
	"errors"
	"sync"
)

// tunnel is a connection to a server that has been upgraded. It counts among the pool's until
// it is closed.
type tunnel struct {
	*conn
	pool  *Pool
	close sync.Once
}

// Read gives what was read ahead with the answer first.
func (t *tunnel) Read(p []byte) (int, error) {
	t.budget = maxAnswer // bounds an answer, not what follows it
	return t.reader.Read(p)
}

// Write implements net.Conn.
func (t *tunnel) Write(p []byte) (int, error) { return t.Conn.Write(p) }

// CloseWrite tells the server that nothing more comes.
func (t *tunnel) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (t *tunnel) Close() error {
	t.close.Do(func() { t.pool.put(t.conn, false) })
	return nil
}
