package fleetsim

import (
	"time"

	"yokestall/policy"
)

// call is a client's request, over all its tries.
type call struct {
	class   int
	began   time.Duration
	work    time.Duration
	key     string
	left    int // tries of its own that are left
	effects int
	done    bool
}

// try is one of a call's, at a node.
type try struct {
	call     *call
	node     *node
	id       policy.RequestID
	end      time.Duration
	attempts []attempt
	out      int
	answered bool
	lost     bool // with its node
}

// attempt is one of a try's, at a server.
type attempt struct {
	server  int
	decided time.Duration
	told    bool
}

// tell runs a decider's method, and then what it left to be told.
func (n *node) tell(do func()) {
	do()
	for len(n.after) > 0 {
		next := n.after[0]
		n.after = n.after[1:]
		next()
	}
}

// take begins a client's try at the node.
func (n *node) take(k *call) {
	n.requests++
	c := &n.day.Classes[k.class]
	n.lastID++
	t := &try{call: k, node: n, id: n.lastID, end: n.now + c.Deadline}
	n.tries[t.id] = t
	n.post(event{at: t.end, kind: evEnd, node: n, try: t})
	n.tell(func() { n.decider.Request(n.now, policy.Request{ID: t.id, Class: k.class, TimeRemaining: c.Deadline}) })
}

// Send implements policy.Host.
func (n *node) Send(id policy.RequestID, server policy.EndpointID, timeout time.Duration) {
	t := n.tries[id]
	if t == nil {
		return
	}
	place := -1
	for i, m := range n.members {
		if m.id == server {
			place = i
			break
		}
	}
	index := len(t.attempts)
	t.attempts = append(t.attempts, attempt{server: place, decided: n.now})
	t.out++
	if t.answered || place < 0 || index >= n.day.Settings.Limits.MaxAttempts {
		n.after = append(n.after, func() { n.outcome(t, index, policy.NeverSent) })
		return
	}
	m := n.members[place]
	n.result.Attempts++
	if index > 0 {
		n.result.ExtraAttempts++
	}
	if m.told > 0 && n.now > m.told+drainRule {
		n.result.AttemptsAfterDrain++
	}
	m.sent++
	m.coming += t.call.work
	n.post(event{at: n.now + n.delay(), kind: evSend, node: n, try: t, index: index, server: place, token: uint64(server)})
	if timeout > 0 && n.now+timeout < t.end {
		n.post(event{at: n.now + timeout, kind: evTimeout, node: n, try: t, index: index})
	}
}

// Cancel implements policy.Host.
func (n *node) Cancel(id policy.RequestID, index int) {
	if t := n.tries[id]; t != nil && index < len(t.attempts) {
		n.after = append(n.after, func() { n.outcome(t, index, policy.Cancelled) })
	}
}

// Reject implements policy.Host.
func (n *node) Reject(id policy.RequestID, after time.Duration) { n.settle(id, true, after) }

// Fail implements policy.Host.
func (n *node) Fail(id policy.RequestID) { n.settle(id, false, 0) }

// SetTimer implements policy.Host.
func (n *node) SetTimer(at time.Duration, token uint64) {
	n.post(event{at: max(at, n.now), kind: evTimer, node: n, token: token, index: int(n.starts)})
}

// RequestPoll implements policy.Host: lists are pushed here.
func (n *node) RequestPoll() {}

// settle gives a try the final answer that its decider chose.
func (n *node) settle(id policy.RequestID, refused bool, after time.Duration) {
	if t := n.tries[id]; t != nil && !t.answered {
		n.answer(t, refused, after)
		n.after = append(n.after, func() { n.release(t) })
	}
}

// answer gives a try's final answer, other than a server's, to its client.
func (n *node) answer(t *try, refused bool, after time.Duration) {
	t.answered = true
	k := t.call
	if k.done {
		n.result.ExtraAnswers++
		return
	}
	tally := &n.result.Classes[k.class]
	if k.left > 0 && (refused || n.day.Classes[k.class].Idempotency != policy.NotIdempotent) {
		n.again(k, after)
		return
	}
	k.done = true
	if refused {
		tally.Rejected++
	} else {
		tally.Failed++
	}
}

// outcome tells the decider how an attempt ended, once.
func (n *node) outcome(t *try, index int, status policy.Status) {
	a := &t.attempts[index]
	if a.told || t.lost {
		return
	}
	a.told = true
	t.out--
	if status == policy.OK && !t.answered {
		n.served(t)
	}
	id := policy.EndpointID(0)
	if a.server >= 0 {
		id = n.members[a.server].id
	}
	n.tell(func() {
		n.decider.Outcome(n.now, policy.Outcome{
			ID: t.id, Attempt: index, Endpoint: id, Status: status, RequestDone: t.answered, Latency: n.now - a.decided,
		})
	})
	n.release(t)
}

// served gives a server's answer to the client and counts its worth.
func (n *node) served(t *try) {
	t.answered = true
	k := t.call
	if k.done {
		n.result.ExtraAnswers++
		return
	}
	k.done = true
	c, tally := &n.day.Classes[k.class], &n.result.Classes[k.class]
	took := n.now - k.began
	tally.Latencies.RecordValue(max(1, took.Microseconds()))
	worth := c.PriorityWeight
	if aim := c.LatencyObjective; aim > 0 && took > aim {
		tally.Late++
		worth *= c.LateWeight
	} else {
		tally.WithinObjective++
	}
	tally.EarnedWeight += worth
	n.seconds[k.began/time.Second].earned += worth
	if at := int(n.now / tenth); at < len(n.result.WeightByTenth) {
		n.result.WeightByTenth[at] += worth
	}
}

// end is the end of a try's time.
func (n *node) end(t *try) {
	if t.lost || n.tries[t.id] != t {
		return
	}
	for i := range t.attempts {
		n.outcome(t, i, policy.Timeout)
	}
	if !t.answered {
		n.answer(t, false, 0)
		n.tell(func() { n.decider.ClientDisconnected(n.now, t.id) })
	}
	n.release(t)
}

// release forgets a try that is answered and of which no attempt is under way.
func (n *node) release(t *try) {
	if t.answered && t.out == 0 {
		delete(n.tries, t.id)
	}
}
