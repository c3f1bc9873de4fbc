package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Counts and limits hold for any order of events.
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
			s.drawnEvent(rnd.IntN(5), conns[i])
			if conns[i].Removed() {
				conns = append(conns[:i], conns[i+1:]...)
			}
			s.trim()
			s.check()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
	}
}

// drawnEvent has something happen on a connection: a close, an extension of its grace, or what comes next in its phase.
func (s *server) drawnEvent(event int, c *Conn) {
	switch event {
	case 0:
		s.close(c)
		return
	case 1:
		if s.table.NextToClose(s.now) != nil {
			s.t.Error("a connection that has to be closed is left")
		}
		if c.phase != fresh {
			s.table.ExtendGrace(s.now, c)
		}
		return
	}
	switch {
	case c.Removed():
	case c.phase == partial:
		s.table.RequestComplete(s.now, c)
	case c.phase == busy && c.Overflow():
		s.close(c) // rejected with Retry-After
	case c.phase == busy:
		s.respond(c)
	default:
		s.receive(c)
	}
}
