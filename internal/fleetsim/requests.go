package fleetsim

import (
	"time"

	"yokestall/policy"
)

// clientRequest is a client's request, over all its tries.
type clientRequest struct {
	class          int
	startedAt      time.Duration
	work           time.Duration
	idempotencyKey string
	retriesLeft    int // tries of its own that are left
	effects        int
	finished       bool
}

// nodeRequest is one of a call's, at a node.
type nodeRequest struct {
	client   *clientRequest
	node     *node
	id       policy.RequestID
	deadline time.Duration
	attempts []attempt
	inFlight int
	answered bool
	lost     bool // with its node
}

// attempt is one of a try's, at a server.
type attempt struct {
	serverIndex int
	sentAt      time.Duration
	reported    bool
}

// callDecider runs a decider's method, and then what it left to be told.
func (n *node) callDecider(do func()) {
	do()
	for len(n.deferred) > 0 {
		next := n.deferred[0]
		n.deferred = n.deferred[1:]
		next()
	}
}

// receive begins a client's try at the node.
func (n *node) receive(k *clientRequest) {
	n.requestCount++
	c := &n.scenario.Classes[k.class]
	n.lastRequestID++
	t := &nodeRequest{client: k, node: n, id: n.lastRequestID, deadline: n.now + c.Deadline}
	n.requests[t.id] = t
	n.post(event{at: t.deadline, kind: evEnd, node: n, try: t})
	n.callDecider(func() { n.decider.Request(n.now, policy.Request{ID: t.id, Class: k.class, TimeRemaining: c.Deadline}) })
}

// Send implements policy.Host.
func (n *node) Send(id policy.RequestID, server policy.EndpointID, timeout time.Duration) {
	t := n.requests[id]
	if t == nil {
		return
	}
	place := -1
	for i, m := range n.servers {
		if m.id == server {
			place = i
			break
		}
	}
	index := len(t.attempts)
	t.attempts = append(t.attempts, attempt{serverIndex: place, sentAt: n.now})
	t.inFlight++
	if t.answered || place < 0 || index >= n.scenario.Settings.Limits.MaxAttempts {
		n.deferred = append(n.deferred, func() { n.reportOutcome(t, index, policy.NeverSent) })
		return
	}
	m := n.servers[place]
	n.result.Attempts++
	if index > 0 {
		n.result.ExtraAttempts++
	}
	if m.drainAnnouncedAt > 0 && n.now > m.drainAnnouncedAt+drainGrace {
		n.result.AttemptsAfterDrain++
	}
	m.attempts++
	m.workInTransit += t.client.work
	n.post(event{at: n.now + n.delay(), kind: evSend, node: n, try: t, index: index, server: place, token: uint64(server)})
	if timeout > 0 && n.now+timeout < t.deadline {
		n.post(event{at: n.now + timeout, kind: evTimeout, node: n, try: t, index: index})
	}
}

// Cancel implements policy.Host.
func (n *node) Cancel(id policy.RequestID, index int) {
	if t := n.requests[id]; t != nil && index < len(t.attempts) {
		n.deferred = append(n.deferred, func() { n.reportOutcome(t, index, policy.Cancelled) })
	}
}

// Reject implements policy.Host.
func (n *node) Reject(id policy.RequestID, after time.Duration) { n.finish(id, true, after) }

// Fail implements policy.Host.
func (n *node) Fail(id policy.RequestID) { n.finish(id, false, 0) }

// SetTimer implements policy.Host.
func (n *node) SetTimer(at time.Duration, token uint64) {
	n.post(event{at: max(at, n.now), kind: evTimer, node: n, token: token, index: int(n.incarnation)})
}

// RequestPoll implements policy.Host: lists are pushed here.
func (n *node) RequestPoll() {}

// finish gives a try the final answer that its decider chose.
func (n *node) finish(id policy.RequestID, refused bool, after time.Duration) {
	if t := n.requests[id]; t != nil && !t.answered {
		n.answerWithError(t, refused, after)
		n.deferred = append(n.deferred, func() { n.forgetIfFinished(t) })
	}
}

// answerWithError gives a try's final answerWithError, other than a server's, to its client.
func (n *node) answerWithError(t *nodeRequest, refused bool, after time.Duration) {
	t.answered = true
	k := t.client
	if k.finished {
		n.result.ExtraAnswers++
		return
	}
	tally := &n.result.Classes[k.class]
	if k.retriesLeft > 0 && (refused || n.scenario.Classes[k.class].Idempotency != policy.NotIdempotent) {
		n.scheduleRetry(k, after)
		return
	}
	k.finished = true
	if refused {
		tally.Rejected++
	} else {
		tally.Failed++
	}
}

// reportOutcome tells the decider how an attempt ended, once.
func (n *node) reportOutcome(t *nodeRequest, index int, status policy.Status) {
	a := &t.attempts[index]
	if a.reported || t.lost {
		return
	}
	a.reported = true
	t.inFlight--
	if status == policy.OK && !t.answered {
		n.answerOK(t)
	}
	id := policy.EndpointID(0)
	if a.serverIndex >= 0 {
		id = n.servers[a.serverIndex].id
	}
	n.callDecider(func() {
		n.decider.Outcome(n.now, policy.Outcome{
			ID: t.id, Attempt: index, Endpoint: id, Status: status, RequestDone: t.answered, Latency: n.now - a.sentAt,
		})
	})
	n.forgetIfFinished(t)
}

// answerOK gives a server's answer to the client and counts its worth.
func (n *node) answerOK(t *nodeRequest) {
	t.answered = true
	k := t.client
	if k.finished {
		n.result.ExtraAnswers++
		return
	}
	k.finished = true
	c, tally := &n.scenario.Classes[k.class], &n.result.Classes[k.class]
	took := n.now - k.startedAt
	tally.Latencies.RecordValue(max(1, took.Microseconds()))
	worth := c.PriorityWeight
	if aim := c.LatencyObjective; aim > 0 && took > aim {
		tally.Late++
		worth *= c.LateWeight
	} else {
		tally.WithinObjective++
	}
	tally.EarnedWeight += worth
	n.weightBySecond[k.startedAt/time.Second].earned += worth
	if at := int(n.now / tenth); at < len(n.result.WeightByTenth) {
		n.result.WeightByTenth[at] += worth
	}
}

// expire is the expire of a try's time.
func (n *node) expire(t *nodeRequest) {
	if t.lost || n.requests[t.id] != t {
		return
	}
	for i := range t.attempts {
		n.reportOutcome(t, i, policy.Timeout)
	}
	if !t.answered {
		n.answerWithError(t, false, 0)
		n.callDecider(func() { n.decider.ClientDisconnected(n.now, t.id) })
	}
	n.forgetIfFinished(t)
}

// forgetIfFinished forgets a try that is answered and of which no attempt is under way.
func (n *node) forgetIfFinished(t *nodeRequest) {
	if t.answered && t.inFlight == 0 {
		delete(n.requests, t.id)
	}
}
