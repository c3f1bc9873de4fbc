package node

import (
	"context"
	"net/http"
	"time"

	"yokestall/policy"
)

const (
	// clockStart keeps a server that started before this node on the positive
	// side of the clock: the module takes 0 and less for "long ago".
	clockStart = time.Hour
	// eventQueue is how many events may wait before their senders do.
	eventQueue = 1024
)

// loop owns the balancer, its clock and its timers, and carries out its
// actions. All else sends it events; only its goroutine touches the fields
// below events.
type loop struct {
	ctx    context.Context
	zero   time.Time // of the clock, less clockStart
	up     *upstreams
	events chan func(now time.Duration)

	balancer *policy.Balancer
	watch    func() // starts a watch of the list
	requests map[policy.RequestID]*request
	lastID   policy.RequestID
	maxTries int
	after    []func(now time.Duration) // what host calls leave to be told to the balancer
}

// answer is a request's final answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// request is a client's request that has an attempt out or no final answer yet.
type request struct {
	outgoing
	class, tenant int
	hint          time.Duration
	end           time.Duration // when the answer must be on its way

	id       policy.RequestID
	answer   chan answer // takes one
	attempts []*attempt
	out      int  // attempts with no outcome yet
	ended    bool // has its final answer, or its client left
	deadline *time.Timer
}

// attempt is one send of a request.
type attempt struct {
	call   *call
	server policy.ServerID
	sent   time.Duration
	told   bool // the balancer has its outcome
	timer  *time.Timer
}

func newLoop(ctx context.Context, cfg *Config, up *upstreams) (*loop, error) {
	l := &loop{
		ctx: ctx, zero: time.Now().Add(-clockStart), up: up,
		events: make(chan func(time.Duration), eventQueue), watch: func() {},
		requests: map[policy.RequestID]*request{}, maxTries: cfg.Policy.Limits.MaxAttempts,
	}
	var err error
	l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l)
	return l, err
}

// clock gives the node's monotonic time.
func (l *loop) clock() time.Duration { return time.Since(l.zero) }

// run handles events until the context ends. An event's time is when it is taken.
func (l *loop) run() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case event := <-l.events:
			event(l.clock())
			for len(l.after) > 0 {
				next := l.after[0]
				l.after = l.after[1:]
				next(l.clock())
			}
		}
	}
}

// post sends the loop an event; false if the loop has ended.
func (l *loop) post(event func(now time.Duration)) bool {
	select {
	case l.events <- event:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// do has a request decided and waits for its final answer. It is false if the
// client left first, which ctx tells.
func (l *loop) do(ctx context.Context, r *request) (answer, bool) {
	r.answer = make(chan answer, 1)
	if !l.post(func(now time.Duration) { l.begin(now, r) }) {
		return answer{}, false
	}
	select {
	case a := <-r.answer:
		return a, true
	case <-ctx.Done():
		l.post(func(now time.Duration) { l.left(now, r) })
	case <-l.ctx.Done():
	}
	return answer{}, false
}

func (l *loop) begin(now time.Duration, r *request) {
	l.lastID++
	for l.requests[l.lastID] != nil { // after 2^32 requests
		l.lastID++
	}
	r.id = l.lastID
	l.requests[r.id] = r
	left := max(0, r.end-now)
	r.deadline = time.AfterFunc(left, func() { l.post(func(now time.Duration) { l.expire(now, r) }) })
	l.balancer.Request(now, policy.Request{ID: r.id, Class: r.class, Tenant: r.tenant, Left: left, Hint: r.hint})
	l.release(r)
}

// left ends a request whose client went away: nothing is owed any more.
func (l *loop) left(now time.Duration, r *request) {
	if r.ended {
		return
	}
	l.end(r)
	l.balancer.Left(now, r.id)
	l.release(r)
}

// expire ends the attempts that are still out when the client's time is up. The
// balancer answers the request then.
func (l *loop) expire(now time.Duration, r *request) {
	for i := range r.attempts {
		l.outcome(now, r, i, result{status: policy.Timeout})
	}
}

// abandon answers all that is still open: the node ends.
func (l *loop) abandon() {
	l.post(func(now time.Duration) {
		for _, r := range l.requests {
			if !r.ended {
				l.finish(r, answer{status: http.StatusBadGateway})
				l.balancer.Left(now, r.id)
				l.release(r)
			}
		}
	})
}

// outcome tells the balancer the end of an attempt, once; what comes later is dropped.
func (l *loop) outcome(now time.Duration, r *request, index int, res result) {
	a := r.attempts[index]
	if a.told {
		return
	}
	a.told = true
	r.out--
	a.call.stop()
	if a.timer != nil {
		a.timer.Stop()
	}
	if res.status == policy.OK && !r.ended {
		l.finish(r, answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	l.balancer.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: index, Server: a.server, Status: res.status, Ended: r.ended, Latency: now - a.sent,
	})
	l.release(r)
}

// end bars attempts that wait for a connection from being sent: nothing may go
// out once the request has its final answer.
func (l *loop) end(r *request) {
	r.ended = true
	for _, a := range r.attempts {
		a.call.revoke()
	}
}

// finish gives the final answer.
func (l *loop) finish(r *request, a answer) {
	l.end(r)
	r.answer <- a
}

// release forgets a request that is over in every way.
func (l *loop) release(r *request) {
	if r.ended && r.out == 0 {
		r.deadline.Stop()
		delete(l.requests, r.id)
	}
}

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	now := l.clock()
	a := &attempt{server: server, sent: now, call: newCall(l.ctx)}
	index := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.out++
	if r.ended || index >= l.maxTries || now >= r.end {
		l.after = append(l.after, func(now time.Duration) { l.outcome(now, r, index, result{status: policy.Moot}) })
		return
	}
	if timeout > 0 && now+timeout < r.end {
		a.timer = time.AfterFunc(timeout, func() {
			l.post(func(now time.Duration) { l.outcome(now, r, index, result{status: policy.Timeout}) })
		})
	}
	go func() {
		res := l.up.send(a.call, server, &r.outgoing, r.end-now)
		l.post(func(now time.Duration) { l.outcome(now, r, index, res) })
	}()
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	l.after = append(l.after, func(now time.Duration) { l.outcome(now, r, index, result{status: policy.Cancelled}) })
}

// Refuse implements policy.Host.
func (l *loop) Refuse(id policy.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil && !r.ended {
		l.finish(r, answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
		l.after = append(l.after, func(time.Duration) { l.release(r) })
	}
}

// Fail implements policy.Host.
func (l *loop) Fail(id policy.RequestID) {
	if r := l.requests[id]; r != nil && !r.ended {
		l.finish(r, answer{status: http.StatusBadGateway})
		l.after = append(l.after, func(time.Duration) { l.release(r) })
	}
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-l.clock(), func() {
		l.post(func(now time.Duration) { l.balancer.Timer(now, token) })
	})
}

// WatchList implements policy.Host.
func (l *loop) WatchList() { l.watch() }

// members takes news of the list: first where servers are, then what the module makes of it.
func (l *loop) members(kind policy.ListKind, list []instance, entries []policy.Entry) bool {
	return l.post(func(now time.Duration) {
		if kind != policy.ListFailed {
			l.up.update(kind != policy.ListDelta, list)
		}
		l.balancer.Members(now, kind, entries)
	})
}
