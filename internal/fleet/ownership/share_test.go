package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Nodes that lend and borrow in virtual time: clocks off by a tenth, a network that loses, delays, holds and repeats,
// nodes that are stopped and start again, owners that are replaced and go on all the same, rules that change how many
// nodes there are.

type without string

const (
	nothing    without = ""
	bookFirst  without = "a pledge is booked when it is answered"
	fromEcho   without = "a pledge counts from when it arrives"
	fromAsk    without = "a slice counts from when it arrives"
	drift      without = "clocks are taken to be exact"
	onceOnly   without = "a trade that comes twice counts twice"
	quietStart without = "a node that starts forgets what it lent"
)

var simTerms = LendingConfig{PledgeDuration: 2 * time.Second, MaxClockDrift: 0.1}

type sim struct {
	rng    *rand.Rand
	out    without
	terms  LendingConfig
	now    time.Duration
	queue  queue
	order  int
	nodes  []*node
	owners []*dealing
	homes  []float64 // own part by epoch
	epoch  uint64
	broken string
	borrowed,
	largest float64
}

type node struct {
	name   string
	life   int
	rate   float64
	offset time.Duration
	share  *Share
	demand float64
	paused time.Duration
	lag    time.Duration // what goes to it and comes from it takes so much longer
	down   bool
	late   []func()
	epoch  uint64
}

type dealing struct {
	at     *node
	dealer *Allocator
}

type event struct {
	at    time.Duration
	order int
	do    func()
}
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func newSim(seed uint64, nodes int, out without) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(40, seed)), out: out, terms: simTerms, homes: []float64{1 / float64(nodes)}}
	if out == drift {
		s.terms.MaxClockDrift = 0
	}
	for i := range nodes {
		n := &node{name: fmt.Sprint("n", i), rate: 1 + simTerms.MaxClockDrift*float64(s.rng.IntN(3)-1), offset: time.Duration(s.rng.Int64N(int64(time.Hour))), demand: 1}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	s.own()
	return s
}

// own has another node deal, by a token that is higher; those before go on.
func (s *sim) own() {
	at := s.nodes[s.rng.IntN(len(s.nodes))]
	s.owners = append(s.owners, &dealing{at, NewAllocator(uint64(len(s.owners)+1), s.terms)})
}

func (s *sim) at(in time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + in, s.order, do})
}

func (s *sim) on(n *node, in time.Duration, do func()) {
	life := n.life
	s.at(in, func() {
		switch {
		case n.down || n.life != life:
		case n.paused > s.now:
			n.late = append(n.late, do)
		default:
			do()
		}
		s.judge()
	})
}

func (s *sim) start(n *node) {
	n.life++
	n.down, n.paused, n.late = false, 0, nil
	n.share = NewShare(n.clock(s.now), s.terms)
	if s.out == quietStart {
		n.share.lent = nil
	}
	s.trades(n)
}

func (s *sim) trades(n *node) {
	s.on(n, time.Duration(float64(s.terms.RenewInterval())/n.rate), func() {
		t := n.share.NextRequest(n.clock(s.now), s.homes[n.epoch], n.demand)
		t.Node, t.Incarnation = n.name, fmt.Sprint(n.life)
		if s.out == bookFirst && t.Pledge > 0 {
			n.share.lent = n.share.lent[:len(n.share.lent)-1]
		}
		o := s.owners[len(s.owners)-1]
		if s.rng.IntN(4) == 0 { // it believes in one that is past
			o = s.owners[s.rng.IntN(len(s.owners))]
		}
		s.send(n, o.at, func() {
			if s.out == fromEcho {
				t.Echo.At = o.at.clock(s.now)
			}
			if s.out == onceOnly {
				if known := o.dealer.nodes[t.Node]; known != nil {
					known.sequence = 0
				}
			}
			d := o.dealer.Allocate(o.at.clock(s.now), t)
			s.send(o.at, n, func() {
				if s.out == fromAsk {
					if _, known := n.share.requestedAt[d.Sequence]; known {
						n.share.requestedAt[d.Sequence] = n.clock(s.now)
					}
				}
				if n.share.HandleReply(n.clock(s.now), d) && s.out == bookFirst && t.Pledge > 0 {
					n.share.lent = append(n.share.lent, loan{t.Pledge, n.clock(s.now) + s.terms.onFastestClock(s.terms.PledgeDuration)})
				}
				s.borrowed += d.Granted
			})
		})
		s.trades(n)
	})
}

func (s *sim) send(from, to *node, do func()) {
	in := time.Duration(s.rng.Int64N(int64(10*time.Millisecond))) + max(from.lag, to.lag)
	switch s.rng.IntN(20) {
	case 0:
		return
	case 1:
		s.on(to, in+time.Duration(s.rng.Int64N(int64(10*time.Second))), do)
	case 2:
		s.on(to, in+time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), do)
	case 3:
		in += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	}
	s.on(to, in, do)
}

// judge adds up what all nodes may use at this moment, those that are dead or stopped apart: they use nothing.
func (s *sim) judge() {
	sum := 0.0
	for _, n := range s.nodes {
		if n.down || n.paused > s.now {
			continue
		}
		part := n.share.Usable(n.clock(s.now), n.clock(s.now), s.homes[n.epoch])
		s.largest = max(s.largest, part/s.homes[n.epoch])
		sum += part
	}
	if sum > 1+1e-9 && s.broken == "" {
		s.broken = fmt.Sprintf("%v: %.6f of the whole", s.now, sum)
	}
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.broken == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func play(seed uint64, out without) *sim {
	s := newSim(seed, 3+int(seed%4)*9, out)
	for range 50 {
		s.run(s.now + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))))
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		switch s.rng.IntN(9) {
		case 0:
			s.own()
		case 4:
			n.lag = time.Duration(s.rng.Int64N(int64(2 * simTerms.PledgeDuration)))
			s.at(4*time.Second, func() { n.lag = 0 })
		case 1:
			n.paused = s.now + time.Duration(s.rng.Int64N(int64(4*time.Second)))
			life := n.life
			s.at(n.paused-s.now, func() {
				if n.life == life && !n.down {
					late := n.late
					n.late = nil
					for _, do := range late {
						do()
					}
				}
				s.judge()
			})
		case 2:
			n.down = true
			s.at(time.Duration(s.rng.Int64N(int64(time.Second))), func() { s.start(n) })
		case 3: // a version has more nodes: all act on it before the new ones start
			for range 1 + s.rng.IntN(3) {
				s.nodes = append(s.nodes, &node{name: fmt.Sprint("n", len(s.nodes)), rate: 1, demand: 1, down: true})
			}
			s.homes = append(s.homes, 1/float64(len(s.nodes)))
			s.epoch++
			for _, other := range s.nodes {
				if other.epoch = s.epoch; other.life == 0 {
					s.start(other)
				}
			}
		default: // the traffic is uneven, and moves
			for _, other := range s.nodes {
				other.demand = 1
			}
			n.demand = 1 + 10*float64(len(s.nodes))*s.rng.Float64()
		}
		if s.broken != "" {
			break
		}
	}
	return s
}

// The sum of what all nodes may use at one moment never passes the whole, and what is lent is used.
func TestSharesNeverPassTheWhole(t *testing.T) {
	borrowed, largest := 0.0, 0.0
	seeds := 1000
	if raced {
		seeds = 50
	}
	for seed := range uint64(seeds) {
		s := play(seed, nothing)
		if s.broken != "" {
			t.Fatalf("seed %d: %s", seed, s.broken)
		}
		borrowed, largest = borrowed+s.borrowed, max(largest, s.largest)
	}
	if borrowed < float64(seeds)/10 || largest < 3 {
		t.Errorf("%.1f of the whole borrowed, %.1f times a node's own part at most: too little to say anything", borrowed, largest)
	}
	t.Logf("%d seeds: %.0f wholes were lent and borrowed, up to %.1f times a node's own part", seeds, borrowed, largest)
}

// Each guard that is left out is found by the same runs.
func TestGuards(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	for _, out := range []without{bookFirst, fromEcho, fromAsk, drift, onceOnly, quietStart} {
		t.Run(string(out), func(t *testing.T) {
			for seed := range uint64(2000) {
				if s := play(seed, out); s.broken != "" {
					t.Logf("seed %d: %s", seed, s.broken)
					return
				}
			}
			t.Error("not found in 2000 seeds")
		})
	}
}

// A slice ends before its pledge does on any three clocks, and not long before.
func TestSliceEndsBeforeItsPledge(t *testing.T) {
	rates := []float64{1 - simTerms.MaxClockDrift, 1, 1 + simTerms.MaxClockDrift}
	for i := range 27 {
		lenderRate, ownerRate, borrowerRate := rates[i%3], rates[i/3%3], rates[i/9]
		clock := func(rate float64, at time.Duration) time.Duration { return time.Duration(rate * float64(at)) }
		lender, borrower, d := NewShare(-time.Hour, simTerms), NewShare(-time.Hour, simTerms), NewAllocator(1, simTerms)
		ask := func(at time.Duration, s *Share, rate float64, name string, demand float64) (ShareRequest, ShareReply) {
			tr := s.NextRequest(clock(rate, at), 0.5, demand)
			tr.Node, tr.Incarnation = name, "1"
			return tr, d.Allocate(clock(ownerRate, at), tr)
		}
		for _, at := range []time.Duration{time.Hour, time.Hour + time.Millisecond} { // the owner's nonce, and then a pledge
			_, deal := ask(at, borrower, borrowerRate, "b", 100)
			borrower.HandleReply(clock(borrowerRate, at), deal)
			_, deal = ask(at, lender, lenderRate, "l", 1)
			lender.HandleReply(clock(lenderRate, at), deal)
		}
		at := time.Hour + 200*time.Millisecond
		tr, deal := ask(at, borrower, borrowerRate, "b", 100)
		if deal.Granted < 0.4 || tr.Sequence != deal.Sequence || !borrower.HandleReply(clock(borrowerRate, at), deal) || borrower.HandleReply(clock(borrowerRate, at), deal) {
			t.Fatalf("%+v", deal)
		}
		slice := time.Duration(float64(borrower.borrowed[0].until) / borrowerRate)
		pledge := time.Duration(float64(lender.lent[0].until) / lenderRate)
		if slice > pledge || pledge-slice > simTerms.PledgeDuration {
			t.Errorf("lender %.1f, owner %.1f, borrower %.1f: the slice ends %v, the pledge %v", lenderRate, ownerRate, borrowerRate, slice-time.Hour, pledge-time.Hour)
		}
		if part := lender.Usable(clock(lenderRate, at), clock(lenderRate, at), 0.5) + borrower.Usable(clock(borrowerRate, at), clock(borrowerRate, at), 0.5); part > 1 {
			t.Errorf("%.3f of the whole", part)
		}
		if borrower.HandleReply(0, ShareReply{Token: 0}) {
			t.Error("an owner that was passed is heard")
		}
	}
}

// A dealer takes so many nodes and no more.
func TestTradersMost(t *testing.T) {
	d := NewAllocator(1, simTerms)
	for i := range MaxNodes + 10 {
		d.Allocate(0, ShareRequest{Node: fmt.Sprint(i), Incarnation: "a", Sequence: 1, Demand: 1})
	}
	if len(d.nodes) != MaxNodes {
		t.Errorf("%d nodes", len(d.nodes))
	}
	d.Allocate(3*simTerms.PledgeDuration, ShareRequest{Node: "late", Incarnation: "a", Sequence: 1})
	if len(d.nodes) != 1 {
		t.Errorf("%d nodes once they are silent", len(d.nodes))
	}
}
