package policy

import (
	"testing"
	"time"
)

// steerFor steers the bound for a while at a steady crowding.
func steerFor(b *Balancer, from, d time.Duration, crowding float64) {
	for t := from; t < from+d; t += 10 * ms {
		b.crowding = crowding
		b.steer(t)
	}
}

func newSteered(t *testing.T) (*rig, *Balancer) {
	r := newRig(t, testSettings(), 4)
	r.b.typical, r.b.steered = 0.1, r.now
	r.b.refresh(r.now)
	r.b.out = int(r.b.limit) * len(r.b.mine)          // and servers hold what they may
	r.b.held = append(r.b.held, &request{done: true}) // someone waits
	return r, r.b
}

// Guards against a bound that grows unused in quiet times and is none when a crowd comes.
func TestBoundGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newSteered(t)
	before := b.limit
	waiting := b.held
	b.held = nil
	steerFor(b, r.now, time.Second, 0)
	if b.limit != before {
		t.Fatalf("bound went from %v to %v though nothing waits", before, b.limit)
	}
	b.held = waiting
	steerFor(b, r.now+time.Second, time.Second, 0)
	if b.limit <= before {
		t.Fatal("bound did not grow while requests wait and servers are not crowded")
	}
}

// Guards against many nodes that each grow their bound in bursts of their own, which come at
// different times, and then all use it at once: what is proven is what servers hold by all
// nodes together. A node alone proves its bound by its own requests.
func TestBoundGrowsToWhatAllNodesProve(t *testing.T) {
	for _, tc := range []struct {
		name         string
		sharers      float64
		out          int     // own at present, in a burst
		mean         float64 // of them over a while
		least, below float64 // the bound after a long burst
	}{
		{"alone", 1, 48, 4, 20, 30},
		{"among many that are calm", 7, 12, 4, 2.9, 20},
		{"among many that are as full", 7, 12, 12, 30, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, b := newSteered(t)
			b.sharers, b.out, b.meanOut = tc.sharers, tc.out, tc.mean
			steerFor(b, r.now, 30*time.Second, 0)
			if b.limit < tc.least || b.limit > tc.below {
				t.Errorf("bound %.1f, want %g to %g", b.limit, tc.least, tc.below)
			}
		})
	}
}

// Guards against a bound that doubles before the answers that would show a crowd have come:
// a node with few answers learns of it that much later.
func TestBoundWaitsForWhatAnswersTell(t *testing.T) {
	grown := func(answers int) float64 {
		r, b := newSteered(t)
		b.out = 1000
		from := b.limit
		for i := range answers {
			b.steer(r.now + time.Duration(i+1)*time.Second/time.Duration(answers))
		}
		return b.limit / from
	}
	few, many := grown(8), grown(200)
	if few > 1.1 || many < 2 {
		t.Errorf("in a second the bound grew %.2f times with 8 answers and %.2f times with 200", few, many)
	}
}

// Guards against servers that get less done the more they hold, and against a fleet
// that is slow as a whole starving itself.
func TestBoundShrinksInACrowdButNotFarBelowWhatWasGood(t *testing.T) {
	r, b := newSteered(t)
	b.crowded, b.limit, b.limitKnown = true, 8, 4
	steerFor(b, r.now, 5*time.Second, 1)
	if b.limit >= 8 {
		t.Fatal("bound did not shrink in a crowd")
	}
	steerFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.limit < 2 || b.limit > 4 {
		t.Fatalf("bound %v after 25 s of slowness, want it near the known 4", b.limit)
	}
}

// Guards against a fleet of crowded servers that is kept crowded by many thin nodes,
// each true to a bound that was good before: the servers could never rest.
func TestThinNodesLetCrowdedServersRest(t *testing.T) {
	r, b := newSteered(t)
	b.crowded, b.limit, b.limitKnown, b.set.NodeCount = true, 8, 8, fewNodes+1
	steerFor(b, r.now, 10*time.Second, 1)
	if b.limit > 1 {
		t.Fatalf("bound %v after 10 s in a crowd, want under one request a server", b.limit)
	}
}

// Guards against waiting so long that the answer comes late, where a node does not see
// how long others' requests wait: work is done for nothing, and crowds the servers.
func TestThinNodeShedsBeforeAnAnswerBarelyFits(t *testing.T) {
	for _, tc := range []struct {
		nodes int
		shed  bool
	}{{1, false}, {80, true}} {
		set := testSettings()
		set.NodeCount = tc.nodes
		r := newRig(t, set, 4)
		r.b.refresh(r.now)
		id := r.request(0)
		q := r.b.requests[id]
		r.end(id, Rejected, ms) // not run, waits for another server
		r.b.hold(q)
		q.useful = r.now + 2*r.b.expected(q)
		r.b.shed(r.now)
		if _, refused := r.h.refused[id]; refused != tc.shed {
			t.Errorf("%d nodes: shed %v, want %v", tc.nodes, refused, tc.shed)
		}
	}
}

// Guards against servers that answer, but many times slower, and keep all their traffic.
func TestSlowAnswersOpenABreakerOnThinNodes(t *testing.T) {
	set := testSettings()
	set.NodeCount = 80
	r := newRig(t, set, 6)
	r.b.refresh(r.now)
	s := r.b.mine[0]
	q := &request{class: &r.b.classes[0]}
	for range failuresToOpen {
		a := &attempt{server: s, request: q, sent: r.now}
		slow := time.Duration(2 * slowAfter * r.b.loneLatency(q) * float64(time.Second))
		r.b.judge(r.now, q, a, Outcome{Status: OK, Latency: slow})
	}
	if s.breaker != open {
		t.Fatal("a server whose answers all come ten times later than alone stays closed")
	}
}

// Guards against nodes that meet the whole fleet and so know none of it, and against a
// share of cold machines alone.
func TestShareGrowsWithTrafficAndSkipsOpenAndColdServers(t *testing.T) {
	set := testSettings()
	set.NodeCount, set.NodeIndex = 100, 37
	r := newRig(t, set, 40)
	r.b.refresh(r.now)
	if n := len(r.b.mine); n != shareLeast {
		t.Fatalf("a node without traffic uses %d servers, want %d", n, shareLeast)
	}
	r.b.mine[0].breaker = open
	r.b.mine[1].StartedAt = r.now // cold
	r.b.shareStale = true
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.mine); n != shareLeast+2 {
		t.Fatalf("%d servers with one open and one cold, want %d", n, shareLeast+2)
	}
	r.b.arrivals.add(r.now, 240)
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.mine); n < 25 {
		t.Fatalf("a node with 120 requests a second uses %d servers", n)
	}
}

// Guards against shares that pile up on some servers and leave others idle.
func TestSharesCoverTheServersEvenly(t *testing.T) {
	const nodes, servers = 90, 30
	met := map[EndpointID]int{}
	for node := range nodes {
		set := testSettings()
		set.NodeCount, set.NodeIndex = nodes, node
		r := newRig(t, set, servers)
		r.b.refresh(r.now)
		for _, s := range r.b.mine {
			met[s.ID]++
		}
	}
	for id := EndpointID(1); id <= servers; id++ {
		if n := met[id]; n < 11 || n > 13 {
			t.Errorf("server %d is in %d shares, want 12 or so", id, n)
		}
	}
}

// Guards against the overshoot of the start's fast growth, which answers reveal late.
func TestFirstCrowdTakesTheBoundBackAtOnce(t *testing.T) {
	r, b := newSteered(t)
	b.limit, b.set.NodeCount = 10, fewNodes+1
	steerFor(b, r.now, 10*ms, 1)
	if b.limit > 7 {
		t.Fatalf("bound %v after the first sign of a crowd, want well below 10", b.limit)
	}
}

// Guards against one request a server from each of many nodes, which is a crowd, and
// against a node that waits for room at its own chance peaks, though all nodes together
// are far from their bound.
func TestThinNodeKeepsItsMeanInFlightToTheBound(t *testing.T) {
	set := testSettings()
	set.NodeCount = 80
	r := newRig(t, set, 20)
	bound := r.b.limit * 20 / 80 // in flight, its part of the whole
	for range 3 {
		r.request(0)
	}
	if n := len(r.h.sends); n < 2 {
		t.Fatalf("%d of 3 requests that came at once were sent, the bound is %.1f", n, bound)
	}
	held, sum := 0, 0
	for range 300 { // requests that nobody answers for half a second each
		id := r.request(0)
		r.pass(10 * ms)
		sum += r.b.out
		if len(r.sendsOf(id)) == 0 {
			held++
		}
		for id := range r.next {
			a := r.b.requests[id]
			if a == nil || len(a.attempts) == 0 || r.now-a.attempts[0].sent < 500*ms {
				continue
			}
			for i := range a.attempts {
				r.b.Outcome(r.now, Outcome{ID: id, Attempt: i, Status: OK, RequestDone: true, Latency: 500 * ms})
			}
		}
	}
	if mean := float64(sum) / 300; held == 0 || mean > 2*bound+1 {
		t.Fatalf("%d held, %.1f in flight on the average; the node's part is %.1f", held, mean, bound)
	}
}

// Guards against a yardstick that grows with the crowd: alone among ours is not alone.
func TestLoneLatenciesAreLearntOnlyInAQuietFleet(t *testing.T) {
	set := testSettings()
	set.NodeCount = 7
	r := newRig(t, set, 7)
	r.b.limit = 2 * r.b.sharers
	r.b.arrivals.add(r.now, 100)
	lone, sends := 0, 0
	for range 7 {
		for _, a := range r.b.requests[r.request(0)].attempts {
			sends++
			if a.lone {
				lone++
			}
		}
	}
	if lone == 0 || sends < 5 || lone > 4 {
		t.Fatalf("%d of %d requests count as lone, want the first few", lone, sends)
	}
}

// Guards against a stop of all sends when servers that hold our attempts vanish.
func TestAttemptsAtOpenServersDoNotFillTheBound(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 4 {
		r.request(0)
	}
	for _, s := range r.b.ready[:2] {
		for range failuresToOpen {
			r.b.failed(r.now, &attempt{server: s}, false)
		}
	}
	for _, s := range r.b.ready[2:] {
		for _, a := range append([]*attempt(nil), s.out...) {
			r.end(a.request.ID, OK, 10*ms)
		}
	}
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("a free server is left idle because open ones hold attempts")
	}
}

func TestEqualServersGoByZone(t *testing.T) {
	near, far := &server{near: true}, &server{}
	if better(far, near) != near || better(near, far) != near {
		t.Fatal("among equals the own zone must win")
	}
	near.out = append(near.out, &attempt{})
	if better(near, far) != far {
		t.Fatal("fewer in flight must win over the zone")
	}
}

// Guards against a fleet that starts cold being charged for its own slowness: what lone requests take on
// cold servers is no measure of their class.
func TestColdServersSayNothingOfAClass(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	c := &r.b.classes[0]
	lone := func(s *server) float64 {
		for range 50 {
			r.b.measure(r.now, &attempt{server: s, lone: true}, &request{class: c}, 3*c.lone)
		}
		return c.lone
	}
	for range 12 { // known from warm ones
		r.b.measure(r.now, &attempt{server: r.b.ready[1], lone: true}, &request{class: c}, c.lone)
	}
	before := c.lone
	s := r.b.ready[0]
	s.StartedAt = r.now
	if r.b.coldShare(s, r.now) >= 1 {
		t.Fatal("the server is not cold")
	}
	if got := lone(s); got != before {
		t.Fatalf("a class is taken to need %v instead of %v", got, before)
	}
	if got := lone(r.b.ready[1]); got <= before {
		t.Fatal("what a warm server takes is not learnt")
	}
}

// Guards against ordering held requests by a guess that busy fleets never correct.
func TestWorthForWorkFollowsAllAnswers(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	heavy := &request{class: &r.b.classes[0]}
	for range 50 {
		r.b.measure(r.now, &attempt{server: r.b.ready[0]}, heavy, 0.9) // never alone
	}
	r.request(0) // fills a server, as does the next
	r.request(0)
	a, b := r.request(0), r.request(1)
	if x, y := r.b.requests[a], r.b.requests[b]; x == nil || y == nil || !y.before(x) {
		t.Fatal("a class that takes longer for the same worth must come second")
	}
}
