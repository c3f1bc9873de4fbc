package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Nodes with capacity leases in virtual time: clocks off by a tenth, a network that loses, delays and duplicates
// messages, nodes that are paused and restarted, owners that are replaced and go on all the same, versions that change
// the number of nodes.

// without is a guard that a run leaves out.
type without string

const (
	nothing            without = ""
	releaseOnReply     without = "a release is deducted when it is answered"
	releaseFromArrival without = "a release counts from when it arrives"
	grantFromArrival   without = "a grant counts from when it arrives"
	drift              without = "clocks are taken to be exact"
	duplicates         without = "a request that arrives twice counts twice"
	forgetReleases     without = "a node that starts forgets what it released"
)

var simConfig = LeaseConfig{ReleaseDuration: 2 * time.Second, MaxClockDrift: 0.1}

type sim struct {
	rng       *rand.Rand
	out       without
	config    LeaseConfig
	now       time.Duration
	queue     queue
	order     int
	nodes     []*node
	owners    []*owner
	ownShares []float64 // by epoch
	epoch     uint64
	broken    string
	borrowed,
	largest float64
}

type node struct {
	name   string
	life   int
	rate   float64
	offset time.Duration
	share  *Holder
	demand float64
	paused time.Duration
	lag    time.Duration // what goes to it and comes from it takes so much longer
	down   bool
	late   []func()
	epoch  uint64
}

type owner struct {
	at        *node
	allocator *Allocator
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
	s := &sim{rng: rand.New(rand.NewPCG(40, seed)), out: out, config: simConfig, ownShares: []float64{1 / float64(nodes)}}
	if out == drift {
		s.config.MaxClockDrift = 0
	}
	for i := range nodes {
		n := &node{
			name:   fmt.Sprint("n", i),
			rate:   1 + simConfig.MaxClockDrift*float64(s.rng.IntN(3)-1),
			offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
			demand: 1,
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	s.own()
	return s
}

// own makes a node the owner by a higher token. The owners before go on.
func (s *sim) own() {
	at := s.nodes[s.rng.IntN(len(s.nodes))]
	s.owners = append(s.owners, &owner{at, NewAllocator(uint64(len(s.owners)+1), s.config)})
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
	n.share = NewHolder(n.clock(s.now), s.config)
	if s.out == forgetReleases {
		n.share.released = nil
	}
	s.trades(n)
}

func (s *sim) trades(n *node) {
	s.on(n, time.Duration(float64(s.config.RenewInterval())/n.rate), func() {
		t := n.share.NextRequest(n.clock(s.now), s.ownShares[n.epoch], n.demand)
		t.Node, t.Incarnation = n.name, fmt.Sprint(n.life)
		if s.out == releaseOnReply && t.Released > 0 {
			n.share.released = n.share.released[:len(n.share.released)-1]
		}
		o := s.owners[len(s.owners)-1]
		if s.rng.IntN(4) == 0 { // it believes in one that is past
			o = s.owners[s.rng.IntN(len(s.owners))]
		}
		s.send(n, o.at, func() {
			if s.out == releaseFromArrival {
				t.Echo.At = o.at.clock(s.now)
			}
			if s.out == duplicates {
				if known := o.allocator.nodes[t.Node]; known != nil {
					known.sequence = 0
				}
			}
			d := o.allocator.Allocate(o.at.clock(s.now), t)
			s.send(o.at, n, func() {
				if s.out == grantFromArrival {
					if _, known := n.share.requestedAt[d.Sequence]; known {
						n.share.requestedAt[d.Sequence] = n.clock(s.now)
					}
				}
				if n.share.HandleReply(n.clock(s.now), d) && s.out == releaseOnReply && t.Released > 0 {
					end := n.clock(s.now) + s.config.onFastestClock(s.config.ReleaseDuration)
					n.share.released = append(n.share.released, capacityLease{t.Released, end})
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

// judge adds up what all nodes may use at this moment. Nodes that are down or paused use nothing.
func (s *sim) judge() {
	sum := 0.0
	for _, n := range s.nodes {
		if n.down || n.paused > s.now {
			continue
		}
		part := n.share.Usable(n.clock(s.now), n.clock(s.now), s.ownShares[n.epoch])
		s.largest = max(s.largest, part/s.ownShares[n.epoch])
		sum += part
	}
	if sum > 1+1e-9 && s.broken == "" {
		s.broken = fmt.Sprintf("%v: %.6f of the budget", s.now, sum)
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
			n.lag = time.Duration(s.rng.Int64N(int64(2 * simConfig.ReleaseDuration)))
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
			s.ownShares = append(s.ownShares, 1/float64(len(s.nodes)))
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

// The sum of what all nodes may use at one moment never exceeds the budget, and what is released is granted.
func TestSharesNeverExceedTheBudget(t *testing.T) {
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
		t.Errorf("%.1f budgets granted, %.1f times a node's own share at most: too little to say anything",
			borrowed, largest)
	}
	t.Logf("%d seeds: %.0f budgets were granted, up to %.1f times a node's own share", seeds, borrowed, largest)
}

// Each guard that is left out is found by the same runs.
func TestGuards(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	for _, out := range []without{
		releaseOnReply, releaseFromArrival, grantFromArrival, drift, duplicates, forgetReleases,
	} {
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

// A grant ends before the release that it was taken from on any three clocks, and not long before.
func TestGrantEndsBeforeItsRelease(t *testing.T) {
	rates := []float64{1 - simConfig.MaxClockDrift, 1, 1 + simConfig.MaxClockDrift}
	for i := range 27 {
		lenderRate, ownerRate, borrowerRate := rates[i%3], rates[i/3%3], rates[i/9]
		clock := func(rate float64, at time.Duration) time.Duration { return time.Duration(rate * float64(at)) }
		lender, borrower, d := NewHolder(-time.Hour, simConfig), NewHolder(-time.Hour, simConfig), NewAllocator(1, simConfig)
		ask := func(at time.Duration, s *Holder, rate float64, name string, demand float64) (LeaseRequest, LeaseReply) {
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
		if deal.Granted < 0.4 || tr.Sequence != deal.Sequence ||
			!borrower.HandleReply(clock(borrowerRate, at), deal) || borrower.HandleReply(clock(borrowerRate, at), deal) {
			t.Fatalf("%+v", deal)
		}
		slice := time.Duration(float64(borrower.granted[0].end) / borrowerRate)
		pledge := time.Duration(float64(lender.released[0].end) / lenderRate)
		if slice > pledge || pledge-slice > simConfig.ReleaseDuration {
			t.Errorf("lender %.1f, owner %.1f, borrower %.1f: the grant ends %v, the release %v",
				lenderRate, ownerRate, borrowerRate, slice-time.Hour, pledge-time.Hour)
		}
		part := lender.Usable(clock(lenderRate, at), clock(lenderRate, at), 0.5) +
			borrower.Usable(clock(borrowerRate, at), clock(borrowerRate, at), 0.5)
		if part > 1 {
			t.Errorf("%.3f of the budget", part)
		}
		if borrower.HandleReply(0, LeaseReply{Token: 0}) {
			t.Error("a reply by an earlier token is handled")
		}
	}
}

// An allocator serves MaxNodes nodes and no more.
func TestMaxNodes(t *testing.T) {
	d := NewAllocator(1, simConfig)
	for i := range MaxNodes + 10 {
		d.Allocate(0, LeaseRequest{Node: fmt.Sprint(i), Incarnation: "a", Sequence: 1, Demand: 1})
	}
	if len(d.nodes) != MaxNodes {
		t.Errorf("%d nodes", len(d.nodes))
	}
	d.Allocate(3*simConfig.ReleaseDuration, LeaseRequest{Node: "late", Incarnation: "a", Sequence: 1})
	if len(d.nodes) != 1 {
		t.Errorf("%d nodes after the others expired", len(d.nodes))
	}
}
