package policy

// What a Balancer remembers, and the bookkeeping on it. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yokestall/internal/slowstart"
)

type breaker uint8

const (
	closed breaker = iota
	open
	halfOpen
)

// outcome is one judged attempt: whether it succeeded, and its latency as a
// multiple of what a lone request of its class takes.
type outcome struct {
	at      time.Duration
	ok      bool
	latency float64
}

type server struct {
	Endpoint
	breaker   breaker
	near      bool            // in this node's zone
	place     uint64          // on the ring, the same at every node
	failures  []time.Duration // consecutive failures within the window
	fulls     int             // requests turned away since the last answer
	fullUntil time.Duration   // it gets none until then
	openFor   time.Duration
	reopenAt  time.Duration // when open: turns half-open
	trial     *attempt      // when half-open: the one trial that is out

	ring       []outcome // grows up to outcomesKept
	head, kept int
	good       int     // successes in the ring
	latencySum float64 // of the successes in the ring
	answeredAt time.Duration
	score      float64 // as of the last refresh
	success    float64
	latency    float64

	out      []*attempt // own attempts in flight, oldest first
	met      bool       // something was sent to it since its start
	coming   int        // of those, whose requests are still on their way from the client
	lone     float64    // mean latency, as a logarithm over its class's, of attempts sent alone
	loneSeen float64
	cold     slowstart.Budget // of what it may be sent while it is cold
}

// meter is an exponentially decaying rate of work per second.
type meter struct {
	at    time.Duration
	value float64
}

const meterSpan = 2.0 // seconds

func (m *meter) add(now time.Duration, work float64) {
	m.value = m.perSecond(now) + work/meterSpan
	m.at = now
}

func (m *meter) perSecond(now time.Duration) float64 {
	gone := (now - m.at).Seconds() / meterSpan
	return m.value / (1 + gone + gone*gone/2) // close to exp(-gone)
}

type attempt struct {
	server     *server
	request    *request
	zone, cell int
	sent       time.Duration
	out        bool
	neverRan   bool
	lone       bool // no other attempt of ours was out at the server
	silent     bool // counted as a failure for its silence
}

type request struct {
	Request
	class    *class
	end      time.Duration // the client gives up
	useful   time.Duration // an answer after this is worth nothing
	worth    float64       // what an answer is worth now
	attempts []attempt
	out      int
	retryAt  time.Duration // waits for its backoff if not 0
	held     bool
	stream   bool
	done     bool
	index    int // place in Balancer.open
}

type class struct {
	Class
	lone     float64 // mean latency of a lone request of mean size, seconds
	loneSeen float64
	work     float64 // mean latency of all its served requests; 1 where worth counts by work
	seen     float64
	hint     float64 // mean hint, seconds
	hinted   float64
}

// Balancer decides for one node. Create it with New.
type Balancer struct {
	set     Settings
	host    Host
	rng     *rand.Rand
	classes []class
	quotas  *Quotas

	servers map[EndpointID]*server
	ready   []*server // listed as ready, in the order of the ring
	mine    []*server // this node's share of them
	sharers float64   // nodes that a server is shared by, on average

	shareStale bool
	shareSize  int // closed servers wanted in the share
	sharedAt   time.Duration
	arrivals   meter // requests

	closed   int // servers of the share, as of the last refresh
	awaiting int // half-open ones that await their trial
	choices  []*server
	late     []*server // those that are too cold to answer in time

	requests map[RequestID]*request
	open     []*request // those that are not done
	held     []*request // those that wait for room, the most worth first
	pool     []*request

	refreshed   time.Duration
	meanSuccess float64
	meanLatency float64 // multiple of a lone request's
	sent        meter   // work sent
	warm        int     // warm servers whose breaker is closed, as of the last refresh
	warmPart    float64 // work a second that a server got from all nodes while most were warm
	out         int     // own attempts in flight, but for silent ones
	meanOut     float64 // the same, over a while
	meanAt      time.Duration
	limit       float64 // bound on them for each ready server; may be below one
	crowded     bool
	limitKnown  float64 // the highest lately without a crowd
	typical     float64 // mean latency of late, seconds
	steered     time.Duration
	crowding    float64 // mean latency over a lone request's at the same server, as a logarithm
	part        float64 // of the node's cold budget
	warming     slowstart.Rules
	again       float64 // share of further attempts that succeed, lately
	sweepAt     time.Duration
	watchDelay  time.Duration
}

func (s *server) forget(oldest *outcome) {
	s.kept--
	if oldest.ok {
		s.good--
		s.latencySum -= oldest.latency
	}
}

func (s *server) record(now time.Duration, ok bool, latency float64) {
	switch {
	case s.kept < len(s.ring):
	case s.kept < outcomesKept:
		s.grow()
	default:
		s.forget(s.outcome(0))
	}
	s.ring[s.head] = outcome{now, ok, latency}
	s.head = (s.head + 1) % len(s.ring)
	s.kept++
	if ok {
		s.good++
		s.latencySum += latency
	}
}

// outcome gives one of those kept, the oldest first.
func (s *server) outcome(i int) *outcome {
	return &s.ring[(s.head+len(s.ring)-s.kept+i)%len(s.ring)]
}

// grow makes room for more outcomes in a ring that is full: most servers of a large fleet are met rarely.
func (s *server) grow() {
	ring := make([]outcome, min(max(firstOutcomes, 2*len(s.ring)), outcomesKept))
	for i := range s.kept {
		ring[i] = *s.outcome(i)
	}
	s.ring, s.head = ring, s.kept
}

// tally drops outcomes that are too old and sums up the rest over the fleet.
func (b *Balancer) tally(now time.Duration) {
	kept, good, latency := 0, 0, 0.0
	b.warm = 0
	for _, s := range b.mine {
		for s.kept > 0 {
			oldest := s.outcome(0)
			if now-oldest.at < outcomesFor {
				break
			}
			s.forget(oldest)
		}
		if s.breaker == closed && b.coldShare(s, now) >= 1 {
			b.warm++
		}
		kept += s.kept
		good += s.good
		latency += s.latencySum
	}
	if kept > 0 {
		b.meanSuccess = float64(good) / float64(kept)
	}
	if good > 0 {
		b.meanLatency = latency / float64(good)
	}
}

// average brings the mean of the requests in flight up to date.
func (b *Balancer) average(now time.Duration) {
	b.meanOut += (float64(b.out) - b.meanOut) * min((now-b.meanAt).Seconds()/meanOutSpan, 1)
	b.meanAt = now
}

// proven is how many requests a server is known to hold: this node's own at present, and
// from each other node that shares it as many as this one has on average, since the others'
// bursts come at other times. A node among few proves its bound by its own; among many,
// bounds that each had grown in bursts of its own would be used by all of them at once.
func (b *Balancer) proven() float64 {
	return (float64(b.out) + b.meanOut*(b.sharers-1)) / max(1, float64(len(b.mine)))
}

// coldShare is the share of its capacity that a server has at least.
func (b *Balancer) coldShare(s *server, now time.Duration) float64 {
	return b.warming.CapacityShare(now, s.StartedAt)
}

// list applies a list or changes to one. What a server was found to be is kept
// while it stays the same process; a restart makes it unmeasured again.
func (b *Balancer) list(kind UpdateKind, entries []Endpoint) {
	if kind != DeltaUpdate {
		for _, s := range b.servers { // draining ones too: many leave no other trace
			s.State = Removed
		}
		b.ready = b.ready[:0]
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{openFor: openFirst, place: ringPlace(e)}
			b.servers[e.ID] = s
		} else if e.StartedAt != s.StartedAt {
			for _, a := range s.out {
				b.silence(a) // sent to the former process, which answers no more
			}
			*s = server{Endpoint: s.Endpoint, openFor: openFirst, place: s.place}
		}
		listed := s.State == Ready
		s.Endpoint = e
		s.near = e.Zone == b.set.Zone
		if e.State == Ready && !listed {
			b.ready = append(b.ready, s)
		}
	}
	kept := b.ready[:0]
	for _, s := range b.ready {
		if s.State == Ready {
			kept = append(kept, s)
		}
	}
	b.ready = kept
	b.shareStale = true
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.place, y.place) })
	for id, s := range b.servers {
		if s.State == Removed && len(s.out) == 0 {
			delete(b.servers, id)
		}
	}
}

// ringPlace orders the servers alike at every node, those of a cell side by side
// so that a share holds the group that a keyed request is bound to.
func ringPlace(e Endpoint) uint64 {
	mix := func(x uint64) uint64 { // the finalizer of splitmix64
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		return x ^ x>>31
	}
	return mix(uint64(e.Cell)+0x9e3779b97f4a7c15)&^(1<<32-1) | mix(uint64(e.ID))>>32
}

// newRequest adds a request to the open ones.
func (b *Balancer) newRequest(q Request, c *class) *request {
	if q.WorkHint > 0 {
		c.hinted = min(c.hinted+1, 64)
		c.hint += (q.WorkHint.Seconds() - c.hint) / c.hinted
	}
	var r *request
	if n := len(b.pool); n > 0 {
		r = b.pool[n-1]
		b.pool = b.pool[:n-1]
	} else {
		// The attempts are never grown: servers point into them.
		r = &request{attempts: make([]attempt, 0, b.set.Limits.MaxAttempts)}
	}
	*r = request{Request: q, class: c, attempts: r.attempts[:0], index: len(b.open)}
	b.requests[q.ID] = r
	b.open = append(b.open, r)
	return r
}

// hold puts a request into the queue.
func (b *Balancer) hold(r *request) {
	low, high := 0, len(b.held)
	for low < high {
		if mid := (low + high) / 2; r.before(b.held[mid]) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	b.held = slices.Insert(b.held, low, r)
	r.held = true
}

// thin tells whether there are so many nodes that each sees little of the servers' load (not a server's sharers).
func (b *Balancer) thin() bool { return b.set.NodeCount > fewNodes }

// meetAfter is the time after its start at which a server that chance has left out is met.
const meetAfter = time.Second

// unmet gives a choice that has started a while ago and was sent nothing since: chance may leave it out for
// long on a node with little traffic. Among many nodes chance serves: all would meet it at one moment.
func (b *Balancer) unmet(now time.Duration) *server {
	for _, s := range b.choices {
		if !s.met && s.StartedAt > 0 && now-s.StartedAt >= meetAfter && !b.thin() {
			return s
		}
	}
	return nil
}

// guessed is how many answers of a class what is known of it rests on at least; before, it is a guess.
const guessed = 4

// pace is the time from one answer to the next, in nanoseconds, as far as the requests in flight tell.
func (b *Balancer) pace() float64 {
	pace := b.typical / max(1, float64(b.out)) * float64(time.Second)
	if !b.crowded || b.thin() {
		pace /= 2 // the bound still grows, or is overstepped by chance
	}
	return pace
}

// shedMargin is how many times the expected latency must fit for a request to be held.
func (b *Balancer) shedMargin(r *request) float64 {
	if b.thin() {
		return 2.5 // others' waits go unseen
	}
	if r.class.seen < guessed {
		return 1
	}
	return 2
}

// chance tells whether a further attempt has one. Where next to none succeeds, as when nothing can be
// reached, only one in sixteen is made.
func (b *Balancer) chance() bool { return b.again > 0.05 || b.rng.IntN(16) == 0 }

// repeated books the outcome of a further attempt.
func (b *Balancer) repeated(o Outcome) {
	if o.Attempt > 0 && o.Status == OK {
		b.again += (1 - b.again) / 8
	} else if o.Attempt > 0 && o.Status != Cancelled && o.Status != NeverSent {
		b.again -= b.again / 8
	}
}

// begin puts a new attempt on the books.
func (b *Balancer) begin(now time.Duration, r *request, s *server) *attempt {
	r.attempts = append(r.attempts, attempt{
		server: s, request: r, zone: s.Zone, cell: s.Cell, sent: now, out: true,
		lone: len(s.out) == 0 && float64(b.out)*b.sharers <= 3*float64(len(b.mine)),
	})
	a := &r.attempts[len(r.attempts)-1]
	r.out++
	b.out++
	s.met = true
	if r.BodyIncomplete { // no load yet, and no silence
		s.coming++
		b.silence(a)
	}
	s.out = append(s.out, a)
	return a
}

// find gives the attempt that an event is about; nil if it is not out.
func (b *Balancer) find(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].out {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// comingMost is how long a request may be on its way from its client; who takes it keeps a pace of its own.
const comingMost = 24 * time.Hour

// begins sets when a request's time and its use end.
func (b *Balancer) begins(now time.Duration, r *request, left time.Duration) {
	if r.BodyIncomplete { // it may come for long, but finds a place soon or is given up
		r.end, r.useful = now+comingMost, now+r.class.LatencyObjective
		return
	}
	r.end = now + max(0, min(left, r.class.Deadline)-max(0, b.set.Tick-b.set.Rules.AnswerGrace))
	r.useful = min(r.end, now+r.class.LatencyObjective+time.Duration(r.class.ObjectiveWorkFactor*float64(r.WorkHint)))
}

// BodyComplete is told that the last byte of a request has come that was Coming: its time begins, and
// its attempts that are out are load from now on.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID, left time.Duration) {
	r := b.requests[id]
	if r == nil || !r.BodyIncomplete {
		return
	}
	r.BodyIncomplete = false
	b.begins(now, r, left)
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && slices.Contains(a.server.out, a) { // else the server has started anew
			a.sent, a.silent = now, false
			a.server.coming--
			b.out++
		}
	}
	b.sweepBy(min(now+sweepEvery, r.end))
}

// ended takes an attempt off the books.
func (b *Balancer) ended(r *request, a *attempt, o Outcome) {
	b.repeated(o)
	a.out = false
	r.out--
	if !a.silent {
		b.out--
	}
	if i := slices.Index(a.server.out, a); i >= 0 { // else the server has started anew
		if r.BodyIncomplete {
			a.server.coming--
		}
		a.server.out = slices.Delete(a.server.out, i, i+1)
	}
}

// mayRepeat tells whether a further attempt at a server repeats no effect. An earlier one may have run.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && r.class.Idempotency == IdempotentByKey && !r.class.sameGroup(a, s) {
			return false
		}
	}
	return !r.spent(now)
}

// spent tells whether an attempt that may have run bars any further one from then on, at whatever server.
func (r *request) spent(now time.Duration) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && (r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentByKey && now-a.sent >= r.class.DedupWindow) {
			return true
		}
	}
	return false
}

func (c *class) sameGroup(a *attempt, s *server) bool {
	switch c.DedupScope {
	case ScopeZone:
		return a.zone == s.Zone
	case ScopeCell:
		return a.cell == s.Cell
	}
	return true
}

func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

// size is the request's work as a multiple of its class's mean, where hinted.
func (r *request) size() float64 {
	if r.WorkHint <= 0 || r.class.hint <= 0 {
		return 1
	}
	return min(max(r.WorkHint.Seconds()/r.class.hint, 0.25), 4)
}

// close takes a request off the books once it is done and its attempts are in.
func (b *Balancer) close(r *request) {
	if !r.done {
		r.done = true
		last := b.open[len(b.open)-1]
		b.open[r.index] = last
		last.index = r.index
		b.open = b.open[:len(b.open)-1]
	}
	if r.out == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if !r.held { // else dispatch drops it from the queue first
			b.pool = append(b.pool, r)
		}
	}
}

// lastUse is when an answer loses its last worth.
func (r *request) lastUse() time.Duration {
	if r.class.LateWeight > 0 {
		return r.end
	}
	return r.useful
}

// loneLatency is what the request should take on a server of its own, in seconds.
func (b *Balancer) loneLatency(r *request) float64 { return r.class.lone*r.size() + 0.001 }

// expected is what the request should take at present.
func (b *Balancer) expected(r *request) time.Duration {
	return time.Duration(b.loneLatency(r) * b.meanLatency * float64(time.Second))
}

// jitter spreads a delay by a fifth either way, so that doubled delays still grow.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*b.rng.Float64()))
}

func (b *Balancer) notClosed() (count int) {
	for _, s := range b.mine {
		if s.breaker != closed {
			count++
		}
	}
	return count
}

// measure takes in how long a served request took, compared to lone ones of its
// class at its server. What a cold server takes counts by its share of its capacity, and only until
// more is known: the class would be taken for heavy, and charged to the cold servers' budgets as such.
func (b *Balancer) measure(now time.Duration, a *attempt, r *request, latency float64) {
	if r.BodyIncomplete {
		return
	}
	c := r.class
	b.typical += (latency - b.typical) / 64
	c.seen = min(c.seen+1, 400)
	if !b.set.WeightPerWork {
		c.work += (latency - c.work) / c.seen // by all answers: lone ones are rare in a busy fleet
	}
	share := b.coldShare(a.server, now)
	if a.lone && (c.loneSeen < 12 || share >= 1 && b.crowding < crowdingAim/2) {
		c.loneSeen = min(c.loneSeen+1, 400)
		c.lone += (min(latency*share/r.size(), c.LatencyObjective.Seconds()/3) - c.lone) / c.loneSeen
	}
	relative := math.Log(max(latency*share, 1e-4) / (c.lone * r.size())) // its coldness is no crowd
	if a.lone && b.crowding < crowdingAim {
		a.server.loneSeen = min(a.server.loneSeen+1, 16)
		a.server.lone += (relative - a.server.lone) / (a.server.loneSeen + b.sharers)
	}
	b.crowding += (relative - a.server.lone - b.crowding) / crowdingOver
}
