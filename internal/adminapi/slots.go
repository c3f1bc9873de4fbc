package adminapi

import (
	"container/list"
	"net"
	"sync"
)

// slots are the MaxConnections slots for open connections. The zero value has all of them free.
type slots struct {
	mu sync.Mutex // guards what follows and the connections' fields
	// evictable are the *connection values whose command is not being executed, in the order in
	// which they are evicted.
	evictable list.List
	open      map[*connection]struct{}
}

// connection is an open connection with a slot. Its fields are guarded by slots.mu.
type connection struct {
	net.Conn
	position *list.Element // in slots.evictable; nil while its command is executed
	released bool          // its slot is free or another connection's
}

// acquire gives a connection a slot, evicting another one if there is none. It returns nil where all
// slots are taken by commands that are being executed, which takes CommandTimeout at most.
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

// release closes a connection and frees its slot, unless it was evicted.
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

// closeAll closes all connections; their goroutines release the slots.
func (s *slots) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// beginExecution exempts a connection from eviction while its command is executed. It reports false
// if the connection was evicted.
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

// endExecution makes a connection the first to be evicted: it has its response.
func (s *slots) endExecution(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.position = s.evictable.PushFront(c)
}
