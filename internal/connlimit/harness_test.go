package connlimit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// server drives a table as a downstream server does, with sockets that never have unread bytes.
type server struct {
	t      *testing.T
	table  *Table
	now    time.Duration
	closed []*Conn
}

// newServer returns a server with limits.
func newServer(t *testing.T, l Limits) *server { return &server{t: t, table: New(l)} }

// close closes a connection.
func (s *server) close(c *Conn) {
	s.table.Remove(c)
	s.closed = append(s.closed, c)
}

// connect admits a new connection, and closes others or waits for that as the table says.
func (s *server) connect() *Conn {
	s.t.Helper()
	for range 1000 {
		c, victim, wait := s.table.Admit(s.now, nil)
		switch {
		case c != nil:
			return c
		case victim != nil:
			s.close(victim)
		default:
			s.now += wait
		}
	}
	s.t.Fatal("no place in a thousand steps")
	return nil
}

// trim closes the connections that the table wants closed now.
func (s *server) trim() {
	for v := s.table.NextToClose(s.now); v != nil; v = s.table.NextToClose(s.now) {
		s.close(v)
	}
}

// receive has the first bytes of a request arrive.
func (s *server) receive(c *Conn) {
	if s.table.BytesReceived(s.now, c) {
		s.trim()
		if !s.table.AssignPlace(c) {
			s.close(c)
		}
	}
}

// respond sends the response to a complete request.
func (s *server) respond(c *Conn) {
	s.table.ResponseSent(s.now, c)
	s.trim()
}

// request takes a connection through one request.
func (s *server) request(c *Conn) {
	s.receive(c)
	s.table.RequestComplete(s.now, c)
	s.now += ms
	s.respond(c)
}

// check checks the counts and limits of the table.
func (s *server) check() {
	s.t.Helper()
	t, l := s.table, s.table.limits
	listed := 0
	for p := range t.phases {
		listed += t.phases[p].length
	}
	if listed != t.Len() {
		s.t.Fatalf("%d connections are listed, %d counted", listed, t.Len())
	}
	if t.active > l.Active || t.overflow > l.Overflow || t.phases[fresh].length > l.New {
		s.t.Fatalf("active %d, overflow %d, new %d of %+v", t.active, t.overflow, t.phases[fresh].length, l)
	}
	if t.active > l.Active-l.Reserve && t.Idle() > 0 {
		s.t.Fatalf("the reserve is in use (%d active) while %d are idle", t.active, t.Idle())
	}
}
