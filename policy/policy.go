package policy

// All decisions are made in this file. The interface they use, the settings, events and
// actions, is in api.go; the records and their upkeep in state.go.

import (
	"math"
	"slices"
	"time"
)

const (
	outcomesKept   = 100              // outcomes a server is judged by
	firstOutcomes  = 4                // room for them that a server has at first
	outcomesFor    = 10 * time.Second // and for how long: an avoided server is forgotten, then met again
	priorOutcomes  = 3.0              // weight of the fleet's mean beside a server's own outcomes
	successPart    = 0.7              // of the score
	latencyPart    = 0.3              // of the score
	nearTie        = 0.1              // scores this close go by own requests in flight
	failuresToOpen = 5                // consecutive failures that open a breaker,
	failuresMost   = 12               // or up to so many for a server that often fails:
	byChance       = 1e-5             // a run as likely as this by its usual failures
	failuresFor    = 60 * time.Second // and the window that they must fall in
	openFirst      = 2 * time.Second  // an open breaker turns half-open after this,
	openMost       = 30 * time.Second // doubled with each failed trial up to this
	backoffPart    = 1.0 / 16         // first retry delay as a share of the class's aim; doubles
	backoffMost    = 30 * time.Second
	slowAfter      = 5.0             // times a lone latency: an answer counts towards opening
	silentAfter    = 4.0             // times the expected latency: an unanswered attempt counts as a failure
	crowdingAim    = 0.3             // log of latency over a lone request's that the bound steers to
	limitUp        = 0.025           // growth of the bound in a typical latency, while requests wait for it
	startFaster    = 6.0             // times that until servers were crowded for the first time
	provenMost     = 2.0             // times what servers are known to hold that the bound may grow to
	crowdingOver   = 32.0            // answers that crowding is averaged over; growth waits for them
	limitDown      = 0.1             // its shrinking in a typical latency for each unit of excess
	restLimit      = 0.5             // requests a server that a thin node's bound may fall to: servers rest
	limitFor       = 60.0            // seconds over which a bound that was known to be good is forgotten
	fewNodes       = 8               // up to which each one's own requests tell the servers' load
	meanOutSpan    = 1.0             // seconds over which a thin node's requests in flight are averaged
	shareLeast     = 4               // closed servers that a node uses at least
	shareSpan      = time.Second / 4 // in which each of its servers gets one request
	leastPart      = 0.5             // work a second that a warm server bears at least: one slow core
	fullMost       = 5               // doublings of the pause that a full server gets, from a typical latency
	sweepEvery     = 10 * time.Millisecond
	aliveFor       = time.Second // after an answer, in which a server that refuses connections is no dead one
	fullsAlive     = 3           // unless so many in a row were turned away
	watchAgain     = 500 * time.Millisecond
	watchSpread    = 40 * time.Millisecond // for each node: over which the first calls of all are spread
)

const (
	tokenSweep, tokenWatch = 0, 1 // of the timers
	never                  = time.Duration(math.MaxInt64)
)

// ---- the list of servers

// UpdateEndpoints follows the list. Where it must be asked for it is watched, after failures again.
// All nodes start together at times, and fail together where discovery has too many callers:
// none asks at once, and the waits differ by half either way.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.host.SetTimer(now+b.watchDelay/2+time.Duration(b.rng.Float64()*float64(b.watchDelay)), tokenWatch)
		b.watchDelay = min(2*b.watchDelay, b.set.Rules.MaxPollInterval/4+watchAgain)
		return
	}
	b.watchDelay = watchAgain
	if kind == CachedUpdate && b.set.PollEndpoints {
		spread := min(watchSpread*time.Duration(b.set.NodeCount), b.set.Rules.MaxPollInterval/4)
		if len(entries) == 0 { // nothing to serve by meanwhile
			spread /= 4
		}
		b.host.SetTimer(now+time.Duration(b.rng.Float64()*float64(spread)), tokenWatch)
	}
	b.list(kind, entries)
	b.refreshed = -1
	b.dispatch(now)
}

// share keeps the node to its own part of the ready servers, so many closed ones that
// each is met once in shareSpan. A thin node would meet the whole fleet too rarely to
// judge it, and open a connection each time. The parts cover the ring of servers evenly;
// more traffic takes a longer part, and a node whose servers fail goes on along the ring.
func (b *Balancer) share(now time.Duration) {
	want := max(shareLeast, int(b.arrivals.perSecond(now)*shareSpan.Seconds()+0.5))
	if !b.shareStale && want <= b.shareSize && now-b.sharedAt < shareSpan {
		return
	}
	b.shareStale, b.shareSize, b.sharedAt = false, want, now
	b.mine = b.mine[:0]
	n := len(b.ready)
	start := int((float64(b.set.NodeIndex%b.set.NodeCount) + 0.5) / float64(b.set.NodeCount) * float64(n))
	for i, left := 0, float64(want); i < n && left > 0; i++ {
		s := b.ready[(start+i)%n]
		b.mine = append(b.mine, s)
		if s.breaker != open {
			left -= b.coldShare(s, now) // cold ones alone could not carry the node's traffic
		}
	}
	b.sharers = max(1, float64(b.set.NodeCount)*float64(len(b.mine))/float64(max(1, n)))
}

// coldBudget tells whether a cold server can bear this work too: by the node's own part of what servers
// got while most were warm (a node that started among cold servers has not seen that, and counts on one
// slow core in each), or by what this one has answered.
func (b *Balancer) coldBudget(s *server, now time.Duration, work float64) bool {
	share := b.coldShare(s, now)
	if share < 1 && !s.cold.Deferred() {
		s.cold.Defer(now, work*b.rng.Float64())
	}
	fixed := b.warming.FixedRate(b.part*b.warmPart/b.sharers, share)
	return share >= 1 || s.cold.Allows(&b.warming, now, fixed, work, work*float64(len(s.out)))
}

// ---- health

// refresh brings the scores up to date: 0.7 x success + 0.3 x (1 - latency /
// the highest). A server without outcomes stands at the mean of the others.
func (b *Balancer) refresh(now time.Duration) {
	if b.refreshed == now {
		return
	}
	b.refreshed = now
	b.share(now)
	b.tally(now)
	if 4*b.warm >= 3*len(b.mine) && len(b.ready) > 0 { // else it stays as known before
		got := b.sent.perSecond(now) * float64(b.set.NodeCount) / float64(len(b.ready))
		b.warmPart += (got - b.warmPart) * min(1, (now-b.meanAt).Seconds()/outcomesFor.Seconds())
	}
	b.average(now)
	b.closed, b.awaiting = 0, 0
	highest := 0.0
	for _, s := range b.mine {
		s.success = (float64(s.good) + priorOutcomes*b.meanSuccess) / (float64(s.kept) + priorOutcomes)
		s.latency = (s.latencySum + priorOutcomes*b.meanLatency) / (float64(s.good) + priorOutcomes)
		if s.breaker == open && now >= s.reopenAt {
			s.breaker, s.trial = halfOpen, nil
		}
		switch {
		case s.breaker == closed:
			highest = max(highest, s.latency)
			b.closed++
		case s.breaker == halfOpen && s.trial == nil:
			b.awaiting++
		}
	}
	for _, s := range b.mine {
		s.score = successPart*s.success + latencyPart*(1-s.latency/max(highest, s.latency, 1e-9))
	}
}

// failed counts a failure towards opening the breaker. A failure that may be
// slowness alone opens it only while fewer than half of the servers are out:
// when all are slow together, ejecting them would refuse everything.
func (b *Balancer) failed(now time.Duration, a *attempt, slowness bool) {
	s := a.server
	s.failures = append(s.failures, now)
	s.failures = slices.DeleteFunc(s.failures, func(at time.Duration) bool { return now-at > failuresFor })
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.openFor = min(2*s.openFor, openMost)
	case s.breaker != closed || len(s.failures) < failuresToOpen || b.usual(s):
		return
	case slowness && 2*(b.notClosed()+1) > len(b.mine):
		return
	}
	s.breaker, s.trial = open, nil
	for _, a := range s.out {
		b.silence(a)
	}
	b.shareStale = true
	s.reopenAt = now + b.jitter(s.openFor)
}

// usual tells whether a server fails so often that its present run of failures says
// nothing new. Its score steers requests away from it then; to open its breaker would
// take what it still serves from a fleet in which, say, connections break everywhere.
func (b *Balancer) usual(s *server) bool {
	run := len(s.failures)
	before := float64(max(0, s.kept-s.good-run)) + priorOutcomes*(1-b.meanSuccess)
	share := before / (float64(max(0, s.kept-run)) + priorOutcomes)
	return run < failuresMost && math.Pow(share, float64(run)) > byChance
}

// silence frees the room of an attempt whose answer hardly comes, or hangs would stop all sends.
func (b *Balancer) silence(a *attempt) {
	if !a.silent {
		a.silent = true
		b.out--
	}
}

// succeeded closes the breaker. An answer to an older attempt shows an open
// server to be alive, so its trial may come at once.
func (s *server) succeeded(now time.Duration, a *attempt) {
	s.failures, s.fulls, s.fullUntil = s.failures[:0], 0, 0
	s.answeredAt = now
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.breaker, s.trial, s.openFor = closed, nil, openFirst
	case s.breaker == open:
		s.reopenAt = now
	}
}

// steer moves the bound on requests in flight. What a server can hold is told nowhere, but
// crowding shows: requests take longer than lone ones. The bound grows while requests wait
// for it and no crowd shows, and shrinks in a crowd; but not much below what was good
// lately, since a fleet that is slow as a whole looks the same.
func (b *Balancer) steer(now time.Duration) {
	seconds := min((now - b.steered).Seconds(), 0.1)
	rounds := seconds / b.typical // answers come back once a round; faster steps would swing
	b.steered = now
	excess := b.crowding - crowdingAim
	switch {
	case excess > 0 && !b.crowded: // the start's fast growth went too far
		b.crowded = true
		if b.thin() {
			b.limit *= 0.6 // and answers tell it late
		}
		b.limitKnown = b.limit
	case excess > 0:
		least, step := max(1, 0.9*b.limitKnown), 0.2
		if b.thin() {
			least, step = restLimit, 1
		}
		b.limit = max(least, b.limit*(1-limitDown*min(excess, step)*rounds))
		b.limitKnown *= 1 - seconds/limitFor
	case len(b.held) > 0 && b.limit < provenMost*b.proven():
		rounds = min(rounds, 2/crowdingOver)
		if !b.crowded {
			rounds *= startFaster
		}
		b.limit *= 1 + limitUp*rounds
		b.limitKnown = max(b.limitKnown, b.limit)
	}
}

// ---- the pick

// maySend is the one gate for every attempt. It keeps the rules: nothing after
// the end, no attempt too many, nothing to a server that drains or is gone, no
// effect twice, no cold server pushed over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.stream || now >= r.end || len(r.attempts) >= b.set.Limits.MaxAttempts || s.State != Ready {
		return false
	}
	if r.out > 0 && !b.set.Limits.AllowHedging || !r.mayRepeat(now, s) {
		return false
	}
	return b.coldBudget(s, now, b.loneLatency(r))
}

// mayRefuse tells whether the promise of a refusal holds.
func (r *request) mayRefuse() bool {
	c := r.class
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.DedupScope == ScopeAll) ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// room tells whether a server is below the bound on own requests in flight (a cold one takes longer, not
// fewer at once), and has not turned one away since its last answer, or long enough ago.
func (b *Balancer) room(s *server, now time.Duration) bool {
	bound := max(1, math.Round(b.limit/b.sharers))
	return now >= s.fullUntil && float64(len(s.out)-s.coming+1) <= bound
}

// inTime tells whether a server that has just started is fast enough for the request: at
// the share of its capacity that it has at least, it takes so much longer.
func (b *Balancer) inTime(now time.Duration, r *request, s *server) bool {
	return b.loneLatency(r)/b.coldShare(s, now) <= (r.useful - now).Seconds()
}

// mayAdd tells whether the node may have one more request in flight. Where many share
// the servers, a node's bound is a few requests or less, which its own arrivals overstep
// by chance: its mean is held to the bound, since the chances of many nodes even out.
func (b *Balancer) mayAdd(bound float64) bool {
	if !b.thin() {
		return float64(b.out+1) <= max(1, bound)
	}
	return b.meanOut < bound && float64(b.out+1) <= bound+2*math.Sqrt(bound+1)
}

// pick chooses a server for the next attempt, or nil: a half-open server that awaits its
// trial; else, for a first send, one that was sent nothing since its start or the better of two
// random closed servers; for a further one the best other closed server. While one is fast
// enough, servers too cold to answer in time stay out.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	b.refresh(now)
	b.choices, b.late = b.choices[:0], b.late[:0]
	quick := false
	for _, s := range b.mine {
		if s.breaker == open || r.tried(s) || !b.maySend(now, r, s) {
			continue
		}
		if s.breaker == closed {
			room := b.room(s, now)
			inTime := b.inTime(now, r, s)
			quick = quick || inTime
			if room && inTime {
				b.choices = append(b.choices, s)
			} else if room {
				b.late = append(b.late, s)
			}
		} else if s.breaker == halfOpen && s.trial == nil &&
			(r.class.Idempotency != NotIdempotent || now > s.reopenAt+s.openFor) { // else the last resort
			return s
		}
	}
	if !quick {
		b.choices, b.late = b.late, b.choices
	}
	n := len(b.choices)
	if n == 0 || !b.mayAdd(b.limit/b.sharers*float64(b.closed)) {
		return nil
	}
	if s := b.unmet(now); s != nil && len(r.attempts) == 0 {
		return s
	}
	if len(r.attempts) == 0 && n > 2 {
		i := b.rng.IntN(n)
		j := (i + 1 + b.rng.IntN(n-1)) % n
		return better(b.choices[i], b.choices[j])
	}
	best := b.choices[0]
	for _, s := range b.choices[1:] {
		best = better(best, s)
	}
	return best
}

// better compares by score; near-ties go to fewer own in flight, equal ones to this zone.
func better(x, y *server) *server {
	switch {
	case x.score > y.score+nearTie:
		return x
	case y.score > x.score+nearTie || len(y.out) < len(x.out):
		return y
	case len(y.out) == len(x.out) && y.near && !x.near:
		return y
	}
	return x
}

// send starts an attempt; pick has asked the gate.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	a := b.begin(now, r, s)
	if s.breaker == halfOpen {
		s.trial = a
	}
	b.sent.add(now, b.loneLatency(r))
	s.cold.Sent(b.loneLatency(r)) // counts for a cold server only
	b.host.Send(r.ID, s.ID, 0)
}

// ---- requests

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Reject(q.ID, 0)
		return
	}
	c := &b.classes[q.Class]
	r := b.newRequest(q, c)
	b.begins(now, r, q.TimeRemaining)
	r.worth = c.PriorityWeight
	if !b.quotas.take(now, q.Tenant) {
		r.worth *= b.set.OverQuotaWeight
	}
	b.arrivals.add(now, 1)
	b.hold(r)
	b.dispatch(now)
	b.sweepBy(min(now+sweepEvery, r.end))
}

// before orders the held requests: most worth for its work first, then the end of its use.
func (r *request) before(o *request) bool {
	x, y := r.worth/r.class.work, o.worth/o.class.work
	return x > y || (x == y && r.useful < o.useful)
}

// dispatch sends what is held while servers have room. With every breaker open
// it refuses at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.held) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.held[:0], false
	for _, r := range b.held {
		var s *server
		if !r.done && !full {
			s = b.pick(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			r.held = false
			b.send(now, r, s)
		case b.closed+b.awaiting == 0:
			r.held = false
			b.giveUp(r)
		default:
			kept = append(kept, r)
			full = full || len(r.attempts) == 0 // no room for any that are not bound to a group
		}
	}
	b.held = kept
}

// giveUp ends a request unserved: a refusal where its promise holds, else a failure.
func (b *Balancer) giveUp(r *request) {
	if r.mayRefuse() {
		b.host.Reject(r.ID, min(r.class.LatencyObjective/2, b.set.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}

// finish ends a request; attempts that are still out are cancelled, unless the connections that
// go with them are dearer than all the work that could be saved.
func (b *Balancer) finish(r *request) {
	if !r.done && b.set.Costs.NewConnection <= b.set.Costs.WastedWork {
		b.cancel(r, nil)
	}
	b.close(r)
}

// ClientDisconnected is told when a client went away: nothing is owed any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// StreamStarted is told when the answer's stream began: the attempt is the client's now.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.find(id, index)
	if r == nil {
		return
	}
	r.stream = true
	a.server.succeeded(now, a)
	b.cancel(r, a)
}

// cancel stops the attempts that are out but for one.
func (b *Balancer) cancel(r *request, kept *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && a != kept && b.set.Limits.AllowCancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// Outcome takes the end of an attempt: first for the server's health, then for
// the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.find(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.ended(r, a, o)
	a.neverRan = o.Status == Rejected || o.Status == ConnectFailed || o.Status == NeverSent
	b.judge(now, r, a, o)
	if o.RequestDone || o.Status == OK {
		b.finish(r)
	} else if !r.done && r.out == 0 {
		b.retry(now, r)
	}
	if r.done {
		b.close(r)
	}
	b.dispatch(now)
}

// judge takes an outcome into the server's health. A restarted server is not
// judged by what its former process was sent.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.server
	if a.sent < s.StartedAt {
		return
	}
	latency := o.Latency.Seconds() / b.loneLatency(r)
	if r.BodyIncomplete { // says nothing of the server: it was the client that took its time
		latency = b.meanLatency
	}
	status := o.Status
	if status == ConnectFailed && s.answeredAt > 0 && now-s.answeredAt < aliveFor && s.fulls < fullsAlive {
		status = Rejected // it answers on connections that it has: it is short of them, not sick
	}
	switch status {
	case OK:
		s.record(now, true, latency)
		s.cold.Answered(&b.warming, now, b.loneLatency(r))
		if latency > slowAfter && b.thin() { // it answers, but is crowded for long: it needs rest
			b.failed(now, a, true)
		} else {
			s.succeeded(now, a)
		}
		b.measure(now, a, r, o.Latency.Seconds())
		b.steer(now)
	case ErrorResponse, Reset, ConnectFailed:
		s.record(now, false, latency)
		b.failed(now, a, false)
	case Timeout:
		if !a.silent && latency > b.meanLatency*silentAfter { // shorter ones come of impatient clients
			s.record(now, false, latency)
			b.failed(now, a, true)
		}
	case Rejected: // without a mark on its score a full server would go on being picked, and
		s.record(now, false, latency) // without a pause it, always free, would draw what waits.
		if s.fulls > 0 {              // not for a lone one: all would pause where many turn some away
			s.fullUntil = now + time.Duration(b.typical*float64(time.Second))<<min(s.fulls-1, fullMost)
		}
		s.fulls++
	}
	if s.trial == a {
		s.trial = nil // no verdict: the next request is the trial
	}
}

// retry waits for the backoff of a further attempt, or answers now if none fits.
func (b *Balancer) retry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.LatencyObjective) * backoffPart)
	delay := b.jitter(min(first<<(len(r.attempts)-1), backoffMost))
	over := len(r.attempts) >= b.set.Limits.MaxAttempts || !b.chance() || r.spent(now+delay) ||
		!r.attempts[len(r.attempts)-1].neverRan && // else the list may be about to change
			!slices.ContainsFunc(b.ready, func(s *server) bool { // each one only once
				return !r.tried(s) && r.mayRepeat(now, s)
			})
	if over || now+delay+b.expected(r) > r.lastUse() {
		b.giveUp(r)
		return
	}
	r.retryAt = now + delay
	b.sweepBy(now + sweepEvery)
}

// ---- time

// Timer takes a timer set before; one that nobody needs any more does no harm.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = never
			b.sweep(now)
		}
	case tokenWatch:
		b.host.WatchEndpoints()
	}
}

// sweepBy has the next sweep come at the given time at the latest.
func (b *Balancer) sweepBy(at time.Duration) {
	if at < b.sweepAt {
		b.sweepAt = at
		b.host.SetTimer(at, tokenSweep)
	}
}

// sweep looks at every open request. The next one comes when a client's time is up at the
// latest: the answer may be due sooner after that than a period of sweeps.
func (b *Balancer) sweep(now time.Duration) {
	b.refresh(now)
	b.shed(now)
	next := now + sweepEvery
	for i := len(b.open) - 1; i >= 0; i-- { // finish moves the last one here, which was seen
		r := b.open[i]
		switch {
		case r.stream:
		case r.out > 0:
			b.watch(now, r)
		case now >= r.end:
			b.giveUp(r)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.hold(r)
		}
		if !r.done && r.out == 0 {
			next = min(next, r.end)
		}
	}
	b.dispatch(now)
	if len(b.open) > 0 {
		b.sweepBy(next)
	}
}

// shed ends the wait of held requests that cannot be sent, or answered in time, any more: what is held ahead
// of them goes first, at the pace at which answers make room (Little, 1961).
func (b *Balancer) shed(now time.Duration) {
	wait, pace := 0.0, b.pace()
	b.held = slices.DeleteFunc(b.held, func(r *request) bool {
		need := b.shedMargin(r) * float64(b.expected(r))
		if r.class.seen >= guessed { // else it is not known yet what its answers take
			need += wait
		}
		if r.done || now+time.Duration(need) <= r.useful && !r.spent(now) {
			wait += pace
			return false // dispatch drops those that are done
		}
		r.held = false
		b.giveUp(r)
		return true
	})
}

// watch counts attempts as failures that got no answer, from a server that gave none
// since. Where allowed a second copy goes elsewhere then: the time-out comes too late.
func (b *Balancer) watch(now time.Duration, r *request) {
	expected := b.expected(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sent)
		if !a.out || a.silent || age <= silentAfter*float64(expected) || a.server.answeredAt >= a.sent {
			continue
		}
		b.silence(a)
		a.server.record(now, false, 0)
		b.failed(now, a, true)
		if r.out == 1 && b.set.Limits.AllowHedging && now+expected <= r.useful {
			if s := b.pick(now, r); s != nil {
				b.send(now, r, s)
			}
		}
	}
}
