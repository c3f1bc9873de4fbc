package connlimit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// server calls a table in the way a downstream server does. Its sockets never have unread bytes.
type server struct {
	t      *testing.T
	table  *Table
	now    time.Duration
	closed []*Conn
}

// newServer returns a server with these limits and no connections.
func newServer(t *testing.T, l Limits) *server { return &server{t: t, table: New(l)} }

// close closes a connection and removes it from the table.
func (s *server) close(c *Conn) {
	s.table.Remove(c)
	s.closed = append(s.closed, c)
}

// connect admits a new connection. It closes other connections or lets time pass as Table.Admit requires.
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
	s.t.Fatal("Admit admitted no connection in 1000 calls")
	return nil
}

// closeExcess closes the connections that NextToClose returns.
func (s *server) closeExcess() {
	for v := s.table.NextToClose(s.now); v != nil; v = s.table.NextToClose(s.now) {
		s.close(v)
	}
}

// receive reports the arrival of the first bytes of a request on a connection.
func (s *server) receive(c *Conn) {
	if s.table.BytesReceived(s.now, c) {
		s.closeExcess()
		if !s.table.AssignSlot(c) {
			s.close(c)
		}
	}
}

// respond sends the response to a complete request.
func (s *server) respond(c *Conn) {
	s.table.ResponseSent(s.now, c)
	s.closeExcess()
}

// request receives a request on a connection and sends the response 1 ms later.
func (s *server) request(c *Conn) {
	s.receive(c)
	s.table.RequestComplete(s.now, c)
	s.now += ms
	s.respond(c)
}

// check fails the test if the table's counts are inconsistent or exceed its limits.
func (s *server) check() {
	s.t.Helper()
	t, l := s.table, s.table.limits
	listed := 0
	for p := range t.byPhase {
		listed += t.byPhase[p].length
	}
	if listed != t.Len() {
		s.t.Fatalf("the lists hold %d connections, Len returned %d; want the same number", listed, t.Len())
	}
	if t.active > l.Active || t.overflow > l.Overflow || t.byPhase[phaseNew].length > l.New {
		s.t.Fatalf("got %d active, %d overflow and %d new connections; want them within %+v",
			t.active, t.overflow, t.byPhase[phaseNew].length, l)
	}
	if t.active > l.Active-l.Reserve && t.Idle() > 0 {
		s.t.Fatalf("the reserve is in use (%d active connections) while %d connections are idle, want 0 idle",
			t.active, t.Idle())
	}
}
