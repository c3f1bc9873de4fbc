package connlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// front drives a table the way a front does, with sockets that always agree.
type front struct {
	t      *testing.T
	table  *Table
	now    time.Duration
	closed []*Conn
}

func newFront(t *testing.T, l Limits) *front { return &front{t: t, table: New(l)} }

func (f *front) end(c *Conn) {
	f.table.End(c)
	f.closed = append(f.closed, c)
}

func (f *front) arrive() *Conn {
	f.t.Helper()
	for range 1000 {
		c, victim, wait := f.table.Arrive(f.now, nil)
		switch {
		case c != nil:
			return c
		case victim != nil:
			f.end(victim)
		default:
			f.now += wait
		}
	}
	f.t.Fatal("no place in a thousand steps")
	return nil
}

func (f *front) trim() {
	for v := f.table.Surplus(f.now); v != nil; v = f.table.Surplus(f.now) {
		f.end(v)
	}
}

func (f *front) spoke(c *Conn) {
	if f.table.Spoke(f.now, c) {
		f.trim()
		if !f.table.Place(c) {
			f.end(c)
		}
	}
}

func (f *front) answered(c *Conn) {
	f.table.Answered(f.now, c)
	f.trim()
}

// ask takes a connection through one request.
func (f *front) ask(c *Conn) {
	f.spoke(c)
	f.table.Whole(f.now, c)
	f.now += ms
	f.answered(c)
}

func (f *front) check() {
	f.t.Helper()
	t, l := f.table, f.table.limits
	held := 0
	for p := range t.lists {
		held += t.lists[p].length
	}
	if held != t.Open() {
		f.t.Fatalf("%d connections are listed, %d counted", held, t.Open())
	}
	if t.asked > l.Asked || t.over > l.Over || t.lists[silent].length > l.Silent {
		f.t.Fatalf("asked %d, over %d, silent %d of %+v", t.asked, t.over, t.lists[silent].length, l)
	}
	if t.asked > l.Asked-l.Reserve && t.Idle() > 0 {
		f.t.Fatalf("the reserve is in use (%d asked) while %d are idle", t.asked, t.Idle())
	}
}

func TestSplit(t *testing.T) {
	for _, c := range []struct {
		sockets, places int
		part            int
		want            Limits
	}{
		{64, 22, 21, Limits{Asked: 17, Reserve: 1, Silent: 3, Over: 2}},
		{256, 128, 85, Limits{Asked: 85, Reserve: 5, Silent: 32, Over: 11}},
		{384, 198, 128, Limits{Asked: 128, Reserve: 8, Silent: 52, Over: 18}},
		{1024, 550, 341, Limits{Asked: 341, Reserve: 21, Silent: 159, Over: 50}},
		// No such rule on the platform: what may have asked is bounded by the places.
		{1024, 550, 1024, Limits{Asked: 409, Reserve: 25, Silent: 91, Over: 50}},
		{64, 8, 4, Limits{Asked: 4, Reserve: 1, Silent: 3, Over: 1}},
	} {
		t.Run(fmt.Sprintf("%d sockets, part %d", c.sockets, c.part), func(t *testing.T) {
			got, err := Split(c.places, c.part)
			if err != nil || got != c.want {
				t.Errorf("%+v, %v; want %+v", got, err, c.want)
			}
			if sum := got.Asked + got.Silent + got.Over; sum != c.places {
				t.Errorf("%d places are given away of %d", sum, c.places)
			}
			New(got)
		})
	}
	for _, c := range [][2]int{{7, 100}, {100, 3}, {0, 0}, {-5, -5}} {
		if _, err := Split(c[0], c[1]); err == nil {
			t.Errorf("Split(%d, %d) gives no error", c[0], c[1])
		}
	}
}

// A crowd that asks once and stays must leave the reserve free at all times: the
// newcomer that finds the clients' part taken is never seen here.
func TestCrowdLeavesTheReserve(t *testing.T) {
	f := newFront(t, Limits{Asked: 16, Reserve: 3, Silent: 4, Over: 1})
	for range 500 {
		f.ask(f.arrive())
		f.check()
		if f.table.asked > 13 {
			t.Fatalf("%d stay of 16 with 3 to be free", f.table.asked)
		}
	}
	if len(f.closed) != 500-13 {
		t.Errorf("%d closed of 500", len(f.closed))
	}
}

// Those who come back keep their connection through a crowd of those who don't.
func TestRegularsStay(t *testing.T) {
	f := newFront(t, Limits{Asked: 16, Reserve: 2, Silent: 4, Over: 1})
	var regulars []*Conn
	for range 6 {
		c := f.arrive()
		f.ask(c)
		f.ask(c)
		regulars = append(regulars, c)
	}
	for i := range 1000 {
		f.ask(f.arrive())
		f.ask(regulars[i%len(regulars)])
	}
	for i, c := range regulars {
		if c.Ended() {
			t.Errorf("regular %d was closed", i)
		}
	}
}

// A former regular that is gone for good must not keep its place for good.
func TestFormerRegularsGo(t *testing.T) {
	f := newFront(t, Limits{Asked: 16, Reserve: 2, Silent: 4, Over: 1})
	var former []*Conn
	for range 13 {
		c := f.arrive()
		f.ask(c)
		f.ask(c)
		former = append(former, c)
	}
	for range 500 {
		f.ask(f.arrive())
	}
	for i, c := range former {
		if !c.Ended() {
			t.Errorf("former regular %d still has its place", i)
		}
	}
}

// Silent ones turn over among themselves and cost nobody who asks a place.
func TestSilentFlood(t *testing.T) {
	f := newFront(t, Limits{Asked: 8, Reserve: 1, Silent: 4, Over: 1})
	var idle []*Conn
	for range 7 {
		c := f.arrive()
		f.ask(c)
		idle = append(idle, c)
	}
	began := f.now
	for range 400 {
		f.arrive()
		f.check()
	}
	for i, c := range idle {
		if c.Ended() {
			t.Errorf("idle connection %d made room for a silent one", i)
		}
	}
	if took, want := f.now-began, 99*SilentGrace; took < want-SilentGrace || took > want+SilentGrace {
		t.Errorf("400 at 4 places took %v, want about %v", took, want)
	}
}

// Under full load with all at work, newcomers are told to come back; past those
// places they are closed; and answers make room by saying that they are the last.
func TestAllAtWork(t *testing.T) {
	f := newFront(t, Limits{Asked: 8, Reserve: 2, Silent: 4, Over: 2})
	var work []*Conn
	for i := range 8 {
		c := f.arrive()
		f.spoke(c)
		f.table.Whole(f.now, c)
		work = append(work, c)
		if got, want := f.table.Crowded(), i >= 6; got != want {
			t.Errorf("with %d at work crowded is %v", i+1, got)
		}
	}
	for i := range 3 {
		c := f.arrive()
		f.spoke(c)
		if over, closed := c.Over(), c.Ended(); !over || closed != (i == 2) {
			t.Errorf("newcomer %d: over %v, closed %v", i, over, closed)
		}
		f.check()
	}
	f.answered(work[0])
	if !work[0].Ended() {
		t.Error("an idle one stays although the reserve is in use")
	}
	if f.table.asked != 7 {
		t.Errorf("%d have a place, want 7", f.table.asked)
	}
	f.table.Whole(f.now, f.closed[0]) // late word of one that has ended
	f.table.Answered(f.now, f.closed[0])
	f.table.End(f.closed[0])
	f.check()
}

// Half requests go after their grace: before those that come back, and where the
// clients' part is full.
func TestPartialsGo(t *testing.T) {
	f := newFront(t, Limits{Asked: 8, Reserve: 1, Silent: 4, Over: 1})
	regular := f.arrive()
	f.ask(regular)
	f.ask(regular)
	for range 6 {
		f.spoke(f.arrive())
	}
	f.now += PartialGrace
	f.spoke(f.arrive())
	if regular.Ended() || len(f.closed) != 1 {
		t.Errorf("regular closed: %v; %d closed in all", regular.Ended(), len(f.closed))
	}
	for range 40 {
		c := f.arrive()
		f.spoke(c)
		if c.Ended() {
			t.Error("a newcomer is closed while others are past their grace")
		}
		f.now += PartialGrace / 4
		f.check()
	}
}

// Bytes of a next request that came ahead of the answer are not left unread.
func TestAhead(t *testing.T) {
	f := newFront(t, Limits{Asked: 4, Reserve: 1, Silent: 2, Over: 1})
	c := f.arrive()
	f.spoke(c)
	f.table.Whole(f.now, c)
	f.spoke(c)
	f.answered(c)
	if c.phase != partial {
		t.Errorf("phase %d", c.phase)
	}
	f.table.Whole(f.now, c)
	f.answered(c)
	if c.phase != idleOften {
		t.Errorf("phase %d", c.phase)
	}
}

// Whatever happens in whatever order, counts and limits hold.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l, err := Split(8+rnd.IntN(40), 4+rnd.IntN(40))
		if err != nil {
			t.Fatal(err)
		}
		f := newFront(t, l)
		var conns []*Conn
		for range 2000 {
			f.now += time.Duration(rnd.IntN(int(30 * ms)))
			if len(conns) == 0 || rnd.IntN(4) == 0 {
				conns = append(conns, f.arrive())
				continue
			}
			i := rnd.IntN(len(conns))
			c := conns[i]
			switch rnd.IntN(5) {
			case 0:
				f.end(c)
			case 1:
				if v := f.table.Surplus(f.now); v != nil {
					t.Fatalf("seed %d: a surplus is left", seed)
				}
				if c.phase != silent {
					f.table.Delay(f.now, c)
				}
			default:
				switch {
				case c.Ended():
				case c.phase == partial:
					f.table.Whole(f.now, c)
				case c.phase == atWork:
					if c.Over() {
						f.end(c) // told to come back
					} else {
						f.answered(c)
					}
				default:
					f.spoke(c)
				}
			}
			if c.Ended() {
				conns = append(conns[:i], conns[i+1:]...)
			}
			f.trim()
			f.check()
		}
	}
}

func BenchmarkCrowd(b *testing.B) {
	t := New(Limits{Asked: 341, Reserve: 21, Silent: 159, Over: 50})
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += ms
		c, victim, _ := t.Arrive(now, nil)
		if victim != nil {
			t.End(victim)
			continue
		}
		t.Spoke(now, c)
		for v := t.Surplus(now); v != nil; v = t.Surplus(now) {
			t.End(v)
		}
		t.Whole(now, c)
		t.Answered(now, c)
	}
}
