package connlimit

import (
	"testing"
)

// Clients that send one request each and stay connected must leave the reserve free at all times, because a client that
// finds no free place may never reach the table.
func TestCrowdLeavesTheReserve(t *testing.T) {
	s := newServer(t, Limits{Active: 16, Reserve: 3, New: 4, Overflow: 1})
	for range 500 {
		s.request(s.connect())
		s.check()
		if s.table.active > 13 {
			t.Fatalf("%d connections are active; want at most 13, which is 16 without the reserve of 3", s.table.active)
		}
	}
	if len(s.closed) != 500-13 {
		t.Errorf("%d of 500 connections were closed, want 487", len(s.closed))
	}
}

// Clients that reuse their connections keep them while many other clients send one request per connection.
func TestRegularsStay(t *testing.T) {
	s := newServer(t, Limits{Active: 16, Reserve: 2, New: 4, Overflow: 1})
	var reusedConns []*Conn
	for range 6 {
		c := s.connect()
		s.request(c)
		s.request(c)
		reusedConns = append(reusedConns, c)
	}
	for i := range 1000 {
		s.request(s.connect())
		s.request(reusedConns[i%len(reusedConns)])
	}
	for i, c := range reusedConns {
		if c.Removed() {
			t.Errorf("reused connection %d was closed", i)
		}
	}
}

// A client that reused its connection but sends no further request loses the connection eventually.
func TestFormerRegularsGo(t *testing.T) {
	s := newServer(t, Limits{Active: 16, Reserve: 2, New: 4, Overflow: 1})
	var former []*Conn
	for range 13 {
		c := s.connect()
		s.request(c)
		s.request(c)
		former = append(former, c)
	}
	for range 500 {
		s.request(s.connect())
	}
	for i, c := range former {
		if !c.Removed() {
			t.Errorf("formerly reused connection %d was not closed", i)
		}
	}
}

// New connections displace one another and no active connection.
func TestFloodOfNewConnections(t *testing.T) {
	s := newServer(t, Limits{Active: 8, Reserve: 1, New: 4, Overflow: 1})
	var idle []*Conn
	for range 7 {
		c := s.connect()
		s.request(c)
		idle = append(idle, c)
	}
	began := s.now
	for range 400 {
		s.connect()
		s.check()
	}
	for i, c := range idle {
		if c.Removed() {
			t.Errorf("idle connection %d was closed for a new connection", i)
		}
	}
	if took, want := s.now-began, 99*NewGrace; took < want-NewGrace || took > want+NewGrace {
		t.Errorf("400 new connections with a limit of 4 took %v, want about %v", took, want)
	}
}

// If all active connections are busy, further connections become overflow connections. Connections beyond the overflow
// limit are closed, and responses free the reserve by closing their connections.
func TestAllBusy(t *testing.T) {
	s := newServer(t, Limits{Active: 8, Reserve: 2, New: 4, Overflow: 2})
	var busyConns []*Conn
	for i := range 8 {
		c := s.connect()
		s.receive(c)
		s.table.RequestComplete(s.now, c)
		busyConns = append(busyConns, c)
		if got, want := s.table.Saturated(), i >= 6; got != want {
			t.Errorf("with %d busy connections Saturated returned %v, want the opposite", i+1, got)
		}
	}
	for i := range 3 {
		c := s.connect()
		s.receive(c)
		if overflow, closed := c.Overflow(), c.Removed(); !overflow || closed != (i == 2) {
			t.Errorf("further connection %d: got overflow %v, closed %v; want overflow and only the last one closed",
				i, overflow, closed)
		}
		s.check()
	}
	s.respond(busyConns[0])
	if !busyConns[0].Removed() {
		t.Error("an idle connection is kept although the reserve is in use")
	}
	if s.table.active != 7 {
		t.Errorf("got %d active connections, want 7", s.table.active)
	}
	s.table.RequestComplete(s.now, s.closed[0]) // no effect after the connection's removal
	s.table.ResponseSent(s.now, s.closed[0])
	s.table.Remove(s.closed[0])
	s.check()
}

// Connections with a partial request are closed after their grace, before reused idle connections are closed, or if
// Limits.Active is exceeded.
func TestPartialsGo(t *testing.T) {
	s := newServer(t, Limits{Active: 8, Reserve: 1, New: 4, Overflow: 1})
	reused := s.connect()
	s.request(reused)
	s.request(reused)
	for range 6 {
		s.receive(s.connect())
	}
	s.now += PartialGrace
	s.receive(s.connect())
	if reused.Removed() || len(s.closed) != 1 {
		t.Errorf("reused connection closed: %v, %d connections closed in all; want false and 1",
			reused.Removed(), len(s.closed))
	}
	for range 40 {
		c := s.connect()
		s.receive(c)
		if c.Removed() {
			t.Error("the connection of a new client was closed while the grace of others had passed")
		}
		s.now += PartialGrace / 4
		s.check()
	}
}

// A connection with a pipelined request is partial, not idle, once the response to the earlier request is sent.
func TestPipelined(t *testing.T) {
	s := newServer(t, Limits{Active: 4, Reserve: 1, New: 2, Overflow: 1})
	c := s.connect()
	s.receive(c)
	s.table.RequestComplete(s.now, c)
	s.receive(c)
	s.respond(c)
	if c.phase != phasePartial {
		t.Errorf("after the first response, got phase %d, want phasePartial", c.phase)
	}
	s.table.RequestComplete(s.now, c)
	s.respond(c)
	if c.phase != phaseIdleReused {
		t.Errorf("after the second response, got phase %d, want phaseIdleReused", c.phase)
	}
}
