package adminapi

import (
	"container/list"
	"net"
	"sync"
)

// slots are the MaxConnections slots for open connections. In the zero value all slots are free.
type slots struct {
	mu sync.Mutex // guards the fields below and the connections' fields
	// evictable has the *connection values whose command is not being executed or answered, in the order
	// in which they are evicted.
	evictable list.List
	open      map[*connection]struct{}
}

// connection is an open connection with a slot. Its fields are guarded by slots.mu.
type connection struct {
	net.Conn
	position *list.Element // element of slots.evictable; nil while the command is executed and answered
	released bool          // whether the connection no longer has a slot
}

// acquire gives a connection a slot. If no slot is free, it evicts the first evictable connection. It returns
// nil if all slots belong to connections whose commands are being executed or answered, each for twice
// CommandTimeout at most.
func (s *slots) acquire(conn net.Conn) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= MaxConnections {
		first := s.evictable.Front()
		if first == nil {
			return nil
		}
		s.releaseLocked(first.Value.(*connection))
	}
	if s.open == nil {
		s.open = map[*connection]struct{}{}
	}
	c := &connection{Conn: conn}
	c.position = s.evictable.PushBack(c)
	s.open[c] = struct{}{}
	return c
}

// release closes a connection and frees its slot. It does nothing if the connection was evicted.
func (s *slots) release(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(c)
}

// releaseLocked is release with s.mu held.
func (s *slots) releaseLocked(c *connection) {
	if c.released {
		return
	}
	c.released = true
	if c.position != nil {
		s.evictable.Remove(c.position)
	}
	delete(s.open, c)
	c.Close()
}

// closeAll closes all connections. The connections' goroutines then release the slots.
func (s *slots) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// beginExecution exempts a connection from eviction until endExecution, while its command is executed and
// answered. It returns false if the connection was evicted already.
func (s *slots) beginExecution(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.released {
		return false
	}
	s.evictable.Remove(c.position)
	c.position = nil
	return true
}

// endExecution makes a connection that has its response the first to be evicted.
func (s *slots) endExecution(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.position = s.evictable.PushFront(c)
}
