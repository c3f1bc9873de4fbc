package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"
)

// server is a first-in-first-out server that warms up, with a capacity that no node is told.
type server struct {
	rules    *Rules
	capacity float64 // work a second when warm
	started  time.Duration
	free     time.Duration // when what it was sent is done
	sent     []load
}

type load struct {
	at   time.Duration
	work float64
}

// take gives when the work will be done.
func (s *server) take(now time.Duration, work float64) time.Duration {
	s.sent = append(s.sent, load{now, work})
	s.free = max(s.free, now) + time.Duration(work/(s.capacity*s.rules.Share(s.free, s.started))*1e9)
	return s.free
}

// pushed is the most that it was sent in any window of the rule, as a multiple of what it could do at the
// window's end. Windows begin at its start at the earliest.
func (s *server) pushed() (most float64) {
	sum, first := 0.0, 0
	for _, l := range s.sent {
		sum += l.work
		for s.sent[first].at <= l.at-s.rules.Span {
			sum -= s.sent[first].work
			first++
		}
		if l.at-s.started >= s.rules.Span {
			most = max(most, sum/(s.capacity*s.rules.Share(l.at, s.started)*s.rules.Span.Seconds()))
		}
	}
	return most
}

type done struct {
	at   time.Duration
	node int
}

// play has nodes with shares of a demand send a server all that their budgets let them.
func play(r *Rules, seed uint64, nodes int, capacity, demand, known float64, free bool) (multiple, served float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const work = 0.02
	s := &server{rules: r, capacity: capacity, started: time.Second}
	budgets, out := make([]Budget, nodes), make([]float64, nodes)
	for i := range budgets {
		budgets[i].Owe(s.started, work*rng.Float64())
	}
	var answers []done // in the order of their times: the server is one queue
	now := s.started
	for end := s.started + r.For; now < end; now += time.Duration(rng.ExpFloat64() / (demand / work) * 1e9) {
		for len(answers) > 0 && answers[0].at <= now {
			budgets[answers[0].node].Answered(r, answers[0].at, work)
			out[answers[0].node] -= work
			served += work
			answers = answers[1:]
		}
		node := 0 // one has half of the traffic
		if rng.Float64() < 0.5 {
			node = rng.IntN(nodes)
		}
		b := &budgets[node]
		if b.May(r, now, r.Fixed(known/float64(nodes), r.Share(now, s.started)), work, out[node]) || free {
			b.Sent(work)
			out[node] += work
			answers = append(answers, done{s.take(now, work), node})
		}
	}
	return s.pushed(), served / (capacity * (1 + r.From) / 2 * r.For.Seconds())
}

// Whatever the nodes' number and however uneven their traffic, what they send a server together stays
// under the rule's multiple, also where it is a tenth of its kind; and what it could do is asked of it nearly whole, also where
// next to nothing was known of it. Without the budget the same demand pushes it over.
func TestNeverPushedOverAndWellUsed(t *testing.T) {
	const seeds = 40
	for _, r := range []*Rules{
		{From: 0.3, For: 8 * time.Second, Multiple: 3, Span: time.Second},
		{From: 0.1, For: 30 * time.Second, Multiple: 2, Span: time.Second},
	} {
		for _, nodes := range []int{1, 5, 30, 100} {
			for _, tc := range []struct {
				name            string
				capacity, known float64
				least           float64 // of what it could do
				most            int     // nodes: each sends something before it can know
			}{
				{"known in full", 4, 4, 0.85, 30},
				{"a quarter known", 4, 1, 0.8, 100},
				{"one slow core known", 4, 0.5, 0.7, 100},
				{"half of its kind", 2, 4, 0.8, 5},
				{"a tenth of its kind", 0.4, 4, 0.8, 1},
			} {
				if nodes > tc.most {
					continue
				}
				for seed := range uint64(seeds) {
					demand := 6 * tc.capacity
					multiple, served := play(r, seed, nodes, tc.capacity, demand, tc.known, false)
					if multiple > 1.05*r.Multiple || served < tc.least {
						t.Fatalf("%d nodes, %s, seed %d: sent %.2f times what it could do (%v and a twentieth for chance at most), %.2f of it used",
							nodes, tc.name, seed, multiple, r.Multiple, served)
					}
				}
				if multiple, _ := play(r, 1, nodes, tc.capacity, 6*tc.capacity, tc.known, true); multiple < r.Multiple {
					t.Errorf("without a budget only %.2f times what it could do: the test proves nothing", multiple)
				}
			}
		}
	}
}

// What a server does not answer earns nothing, and credit that nobody uses does not grow.
func TestCredit(t *testing.T) {
	r := &Rules{From: 0.3, For: 8 * time.Second, Multiple: 3, Span: time.Second}
	var b Budget
	b.Owe(time.Second, 0.01)
	if b.May(r, time.Second, 0, 0.02, 0) {
		t.Error("in debt, and it may send")
	}
	b.Answered(r, time.Second, 0.02)
	if !b.May(r, time.Second, 0, 0.02, 0) {
		t.Error("an answer earns nothing")
	}
	b.Sent(0.02)
	b.Sent(0.02)
	if b.May(r, time.Hour, 0, 0.02, 0) {
		t.Error("it may send for ever on one answer")
	}
	for i := range 1000 {
		b.Answered(r, time.Hour+time.Duration(i)*time.Millisecond, 0.001)
	}
	if most := r.Gain() * r.Span.Seconds() * burst; b.earned > most || !b.May(r, time.Hour, 1, 0.02, 0) || b.Left() > burst {
		t.Errorf("credit %.3f earned (%.3f is the most), %.3f of the fixed part", b.earned, most, b.Left())
	}
}
