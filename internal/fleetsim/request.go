package fleetsim

import (
	"time"

	"yokestall/policy"
)

// drainGrace is the time for which nodes may still send attempts to a server after the endpoint list announced its drain.
const drainGrace = 500 * time.Millisecond

// nodeRequest is one try of a client, as a request at a node.
type nodeRequest struct {
	id       policy.RequestID
	node     *node
	client   *clientRequest
	deadline time.Duration
	attempts []attempt
	inFlight int  // number of attempts without an outcome
	answered bool // the client got an answer
	lost     bool // the node was killed
}

// attempt is an attempt that a node made for a request.
type attempt struct {
	serverIndex int // -1 if the decider picked an endpoint that does not exist
	sentAt      time.Duration
	reported    bool // the decider got the outcome
}

// receive starts a try of a client as a request at the node.
func (n *node) receive(client *clientRequest) {
	n.lease.requestCount++
	deadline := n.scenario.Classes[client.class].Deadline
	n.lastRequestID++
	r := &nodeRequest{id: n.lastRequestID, node: n, client: client, deadline: n.now + deadline}
	n.requests[r.id] = r
	n.schedule(r.deadline, func() { n.expire(r) })
	q := policy.Request{ID: r.id, Class: client.class, TimeRemaining: deadline}
	n.callDecider(func() { n.decider.Request(n.now, q) })
}

// Send implements policy.Host.
func (n *node) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	r := n.requests[id]
	if r == nil {
		return
	}
	server, index := n.serverIndex(endpoint), len(r.attempts)
	r.attempts = append(r.attempts, attempt{serverIndex: server, sentAt: n.now})
	r.inFlight++
	if r.answered || server < 0 || index >= n.scenario.Settings.Limits.MaxAttempts {
		n.deferred = append(n.deferred, func() { n.reportOutcome(r, index, policy.NeverSent) })
		return
	}
	n.countAttempt(n.servers[server], index)
	d := &delivery{request: r, attempt: index, server: n.servers[server], endpoint: endpoint}
	d.server.workInTransit += r.client.work
	n.schedule(n.now+n.networkDelay(), func() { n.arriveAtServer(d) })
	if timeout > 0 && n.now+timeout < r.deadline {
		n.schedule(n.now+timeout, func() { n.reportOutcome(r, index, policy.Timeout) })
	}
}

func (n *node) countAttempt(m *fleetServer, index int) {
	m.attempts++
	n.result.Attempts++
	if index > 0 {
		n.result.ExtraAttempts++
	}
	if m.drainAnnouncedAt > 0 && n.now > m.drainAnnouncedAt+drainGrace {
		n.result.AttemptsAfterDrain++
	}
}

// Cancel implements policy.Host.
func (n *node) Cancel(id policy.RequestID, index int) {
	if r := n.requests[id]; r != nil && index < len(r.attempts) {
		n.deferred = append(n.deferred, func() { n.reportOutcome(r, index, policy.Cancelled) })
	}
}

// Reject implements policy.Host.
func (n *node) Reject(id policy.RequestID, retryAfter time.Duration) {
	n.answerByDecider(id, true, retryAfter)
}

// Fail implements policy.Host.
func (n *node) Fail(id policy.RequestID) { n.answerByDecider(id, false, 0) }

// SetTimer implements policy.Host.
func (n *node) SetTimer(at time.Duration, token uint64) {
	n.scheduleHere(max(at, n.now), func() {
		n.callDecider(func() { n.decider.Timer(n.now, token) })
	})
}

// RequestPoll implements policy.Host. It does nothing, because the simulation pushes endpoint lists.
func (n *node) RequestPoll() {}

// answerByDecider gives the client the rejection or failure that the decider chose.
func (n *node) answerByDecider(id policy.RequestID, rejected bool, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil && !r.answered {
		n.answerError(r, rejected, retryAfter)
		n.deferred = append(n.deferred, func() { n.removeIfDone(r) })
	}
}

// answerError gives the client an error as the final answer of the node, or lets the client retry.
func (n *node) answerError(r *nodeRequest, rejected bool, retryAfter time.Duration) {
	r.answered = true
	client := r.client
	if client.finished {
		n.result.ExtraAnswers++
		return
	}
	mayRetry := rejected || n.scenario.Classes[client.class].Idempotency != policy.NotIdempotent
	if client.retriesLeft > 0 && mayRetry {
		n.scheduleRetry(client, retryAfter)
		return
	}
	client.finished = true
	if counts := &n.result.Classes[client.class]; rejected {
		counts.Rejected++
	} else {
		counts.Failed++
	}
}

// answerOK gives the client the answer from a server and counts the earned weight.
func (n *node) answerOK(r *nodeRequest) {
	r.answered = true
	client := r.client
	if client.finished {
		n.result.ExtraAnswers++
		return
	}
	client.finished = true
	latency := n.now - client.startedAt
	earned := n.result.Classes[client.class].addOK(&n.scenario.Classes[client.class], latency)
	n.weightBySecond[client.startedAt/time.Second].earned += earned
	if at := int(n.now / tenth); at < len(n.result.WeightByTenth) {
		n.result.WeightByTenth[at] += earned
	}
}

// reportOutcome reports the outcome of an attempt to the decider. It ignores all but the first outcome of an attempt.
func (n *node) reportOutcome(r *nodeRequest, index int, status policy.Status) {
	a := &r.attempts[index]
	if a.reported || r.lost {
		return
	}
	a.reported = true
	r.inFlight--
	if status == policy.OK && !r.answered {
		n.answerOK(r)
	}
	o := policy.Outcome{
		ID:          r.id,
		Attempt:     index,
		Status:      status,
		RequestDone: r.answered,
		Latency:     n.now - a.sentAt,
	}
	if a.serverIndex >= 0 {
		o.Endpoint = n.servers[a.serverIndex].id
	}
	n.callDecider(func() { n.decider.Outcome(n.now, o) })
	n.removeIfDone(r)
}

// expire ends a request at its deadline.
func (n *node) expire(r *nodeRequest) {
	if r.lost || n.requests[r.id] != r {
		return
	}
	for i := range r.attempts {
		n.reportOutcome(r, i, policy.Timeout)
	}
	if !r.answered {
		n.answerError(r, false, 0)
		n.callDecider(func() { n.decider.ClientDisconnected(n.now, r.id) })
	}
	n.removeIfDone(r)
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (n *node) removeIfDone(r *nodeRequest) {
	if r.answered && r.inFlight == 0 {
		delete(n.requests, r.id)
	}
}
