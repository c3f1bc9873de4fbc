package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The counts and the limits of a table hold for any order of events on the connections.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l, err := Split(8+rnd.IntN(40), 4+rnd.IntN(40))
		if err != nil {
			t.Fatal(err)
		}
		s := newServer(t, l)
		var conns []*Conn
		for range 2000 {
			s.now += time.Duration(rnd.IntN(int(30 * ms)))
			if len(conns) == 0 || rnd.IntN(4) == 0 {
				conns = append(conns, s.connect())
				continue
			}
			i := rnd.IntN(len(conns))
			s.randomEvent(rnd.IntN(5), conns[i])
			if conns[i].Removed() {
				conns = append(conns[:i], conns[i+1:]...)
			}
			s.closeExcess()
			s.check()
			if t.Failed() {
				t.Fatalf("failed with seed %d", seed)
			}
		}
	}
}

// randomEvent applies an event to a connection: 0 is a close, 1 an extension of the connection's grace, and any other
// value the next event in the life of the connection.
func (s *server) randomEvent(event int, c *Conn) {
	switch event {
	case 0:
		s.close(c)
		return
	case 1:
		if s.table.NextToClose(s.now) != nil {
			s.t.Error("NextToClose returned a connection although all connections to close were closed before")
		}
		if c.phase != phaseNew {
			s.table.ExtendGrace(s.now, c)
		}
		return
	}
	switch {
	case c.Removed():
	case c.phase == phasePartial:
		s.table.RequestComplete(s.now, c)
	case c.phase == phaseBusy && c.Overflow():
		s.close(c) // after the response with Retry-After
	case c.phase == phaseBusy:
		s.respond(c)
	default:
		s.receive(c)
	}
}
