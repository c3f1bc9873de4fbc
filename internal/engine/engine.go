// Package engine carries out a policy.Balancer's decisions over whatever moves
// requests. It knows no protocol: a front submits a request and gets one final answer,
// an Exchanger carries an attempt. The package alone guarantees that
//
//   - each send has exactly one outcome, told to the Balancer once;
//   - each request gets exactly one final answer, 5 ms after its end at the latest;
//   - nothing goes out for a request that has its final answer;
//   - nothing new goes to a server Options.DrainGrace after the engine was told that it
//     drains or is gone, whatever was decided before;
//   - no repeat of a keyed request goes out once the window is over in which servers drop it,
//     however late its connection comes up.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/policy"
)

const (
	// DefaultDrainGrace is Options.DrainGrace where that is 0. The product's promise is 500 ms;
	// the rest is for the clock's and the socket's delays.
	DefaultDrainGrace = 400 * time.Millisecond
	// backstop is how long after a request's end the engine waits for the Balancer's
	// answer before it gives one itself.
	backstop = 5 * time.Millisecond
	// DefaultEventQueue is Options.EventQueue where that is 0.
	DefaultEventQueue = 1024
	// clockStart keeps a server that started before this program on the positive side
	// of the clock: the Balancer takes 0 and less for "long ago".
	clockStart = time.Hour
)

// Clock is the monotonic time that requests and clusters share. Its zero lies an hour
// before NewClock.
type Clock struct{ zero time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-clockStart)} }

// Now gives the time on the clock.
func (c Clock) Now() time.Duration { return time.Since(c.zero) }

// Wall gives the wall time of a time on the clock.
func (c Clock) Wall(at time.Duration) time.Time { return c.zero.Add(at) }

// At gives the place of a wall time on the clock; always by the same difference, since
// a server's start that moved would look like a restart. Times before the zero give 0.
func (c Clock) At(wall time.Time) time.Duration { return max(0, wall.Sub(c.zero.Round(0))) }

// Result is how one attempt ended, and the answer if it was served.
//
// An Answer that is an io.Closer holds something until its front is done with it: the
// engine closes those that no front gets.
type Result struct {
	Status policy.Status
	// Answer is the server's. With another status than policy.OK it is what the client gets
	// if nothing better comes of the request; nil: the server said nothing for it.
	Answer any
	// Final has the request end with this outcome, whatever it is: nothing else is tried.
	Final bool
}

// Exchanger carries attempts to servers. Exchange runs on a goroutine of its own and
// returns soon after the call is given up (Call.OnStop, Call.Context); what it returns then is of no interest. It
// calls call.Begin right before the first byte of a request leaves and returns
// policy.NeverSent, with nothing sent, where that is false.
type Exchanger interface {
	Exchange(call *Call, server policy.EndpointID, payload any, left time.Duration) Result
}

// StreamingPayload is a payload that is still coming while it is sent. It has no two attempts out
// at a time, and none more once its beginning is not there any more.
type StreamingPayload interface {
	Streaming() bool // not all of it is at hand
	Consumed() bool  // it can't be sent from its beginning
}

// SelfTimedPayload is a payload whose attempts last until they end by themselves, or with their request: who
// sends them keeps a time of its own.
type SelfTimedPayload interface{ SelfTimed() }

var (
	// ErrClientDisconnected tells that the client left before the answer: none is owed.
	ErrClientDisconnected = errors.New("engine: the client left")
	// ErrRetired tells that the cluster takes no more requests; nothing was sent.
	ErrRetired = errors.New("engine: the cluster is gone")
)

// Options are what a cluster may be given besides its settings.
type Options struct {
	Seed  uint64
	Clock Clock
	// DrainGrace is how long after word of a drain a send that had been decided before may
	// still begin; 0: the constant of that name. Whoever has a figure from its settings gives a
	// part of it, which leaves the rest to the word's own way here.
	DrainGrace time.Duration
	// EventQueue is how many events may wait before their senders do; 0: the constant of that name. Its memory, about
	// a hundred bytes an event, is held from the start: whoever has many clusters gives less.
	EventQueue int
	// WatchEndpoints is called where the Balancer wants to follow a list that has to be asked
	// for; nil if lists are pushed. It must not block.
	WatchEndpoints func()
	// OnSend is told each attempt that goes out, right before its first byte, with the
	// time by which that was allowed; nil if nobody wants to know. It is called on the
	// attempts' goroutines and must not block.
	OnSend func(server policy.EndpointID, at time.Duration)
}

// Cluster owns one Balancer with its timers. Create it with New, end it with Retire or
// by the context.
type Cluster struct {
	ctx   context.Context
	stop  context.CancelFunc
	clock Clock
	ex    Exchanger
	grace time.Duration // Options.DrainGrace
	watch func()
	sent  func(server policy.EndpointID, at time.Duration)

	events  chan event
	gone    chan struct{} // closed when the loop has ended
	retired atomic.Bool
	open    atomic.Int64 // requests between Do's begin and end
	// maxRetries is how many second and later attempts may be out at once; 0: no limit.
	maxRetries atomic.Int64

	mu      sync.RWMutex // guards members: they are told on the teller's goroutine
	members map[policy.EndpointID]*member

	// The fields below belong to the loop's goroutine.
	balancer *policy.Balancer
	requests map[policy.RequestID]*Request
	lastID   policy.RequestID
	classes  []policy.Class
	maxTries int
	retries  int           // second and later attempts that are out
	leaving  bool          // Abandon was called: nothing more is taken up
	comeBack time.Duration // what those are told that Abandon refuses
	alarms   alarms
	after    []event // what host calls leave to be told to the Balancer
}

type eventKind uint8

const (
	evBegin eventKind = iota
	evLeft
	evOutcome
	evRelease
	evMembers
	evAbandon
	evTimer
	evInspect
	evWhole
)

type event struct {
	kind    eventKind
	list    policy.UpdateKind
	request *Request
	index   int
	result  Result
	entries []policy.Endpoint
	token   uint64
	inspect func()
	end     time.Duration
}

// New starts a cluster with no servers. It ends with the context; what is open then
// gets no answer, so Abandon or Retire it first.
func New(ctx context.Context, set policy.Settings, ex Exchanger, o Options) (*Cluster, error) {
	queue := o.EventQueue
	if queue == 0 {
		queue = DefaultEventQueue
	}
	c := &Cluster{
		clock: o.Clock, ex: ex, watch: o.WatchEndpoints, sent: o.OnSend,
		events: make(chan event, queue), gone: make(chan struct{}),
		members: map[policy.EndpointID]*member{}, requests: map[policy.RequestID]*Request{},
		classes: set.Classes, maxTries: set.Limits.MaxAttempts, comeBack: set.Limits.MaxRetryAfter,
	}
	if c.grace = o.DrainGrace; c.grace == 0 {
		c.grace = DefaultDrainGrace
	}
	var err error
	if c.balancer, err = policy.New(set, o.Seed, c); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	c.ctx, c.stop = context.WithCancel(ctx)
	go c.run()
	return c, nil
}

// run handles events until the context ends. An event's time is when it is taken.
func (c *Cluster) run() {
	defer c.drain() // once gone is closed: see post
	defer close(c.gone)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	armed := time.Duration(-1) // what the timer is set to
	for {
		if next := c.alarms.next(); next != armed {
			if armed = next; next < 0 {
				timer.Stop()
			} else {
				timer.Reset(max(0, next-c.clock.Now()))
			}
		}
		select {
		case <-c.ctx.Done():
			for _, r := range c.requests {
				for _, a := range r.attempts {
					a.Stop()
				}
			}
			return
		case e := <-c.events:
			c.handle(c.clock.Now(), e)
		case <-timer.C:
			armed = -1
		}
		for now := c.clock.Now(); ; {
			a := c.alarms.due(now)
			if a == nil {
				break
			}
			c.fire(now, a)
		}
	}
}

func (c *Cluster) handle(now time.Duration, e event) {
	c.apply(now, e)
	for i := 0; i < len(c.after); i++ { // each may leave more
		c.apply(c.clock.Now(), c.after[i])
	}
	clear(c.after)
	c.after = c.after[:0]
}

func (c *Cluster) apply(now time.Duration, e event) {
	switch e.kind {
	case evBegin:
		c.begin(now, e.request)
	case evLeft:
		c.left(now, e.request)
	case evOutcome:
		c.outcome(now, e.request, e.index, e.result)
	case evRelease:
		c.release(e.request)
	case evMembers:
		c.balancer.UpdateEndpoints(now, e.list, e.entries)
	case evAbandon:
		c.abandon(now)
	case evTimer:
		c.balancer.Timer(now, e.token)
	case evInspect:
		e.inspect()
	case evWhole:
		c.whole(now, e.request, e.end)
	}
}

// discard closes an answer that nobody takes.
func discard(answer any) {
	if c, ok := answer.(io.Closer); ok {
		c.Close()
	}
}

// inspect runs look on the loop's goroutine; false if that has ended.
func (c *Cluster) inspect(look func()) bool { return c.post(event{kind: evInspect, inspect: look}) }

// fire handles an alarm that is due.
func (c *Cluster) fire(now time.Duration, a *alarm) {
	switch r := a.request; {
	case r == nil:
		c.handle(now, event{kind: evTimer, token: a.token})
	case a.index >= 0:
		c.handle(now, event{kind: evOutcome, request: r, index: a.index, result: Result{Status: policy.Timeout}})
	case now < r.Deadline+backstop:
		// The client's time is up: the attempts still out end, and the Balancer
		// answers the request then, or at once by a timer of its own.
		for i := range r.attempts {
			c.handle(now, event{kind: evOutcome, request: r, index: i, result: Result{Status: policy.Timeout}})
		}
		if !r.ended {
			a.at = r.Deadline + backstop
			c.alarms.set(a)
		}
	default: // whatever became of the Balancer's answer
		c.settle(r.id, Answer{Verdict: Failed})
		c.balancer.ClientDisconnected(now, r.id)
		c.handle(now, event{kind: evRelease, request: r})
	}
}

// post sends the loop an event; false if the loop has ended.
func (c *Cluster) post(e event) bool {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
		return false
	}
	select {
	case <-c.gone: // nobody may have been left to take it
		c.drain()
	default:
	}
	return true
}

// drain discards the answers in events that nobody takes any more.
func (c *Cluster) drain() {
	for {
		select {
		case e := <-c.events:
			if discard(e.result.Answer); e.kind == evLeft {
				e.request.untaken()
			}
		default:
			return
		}
	}
}

// Do has a request decided and waits for its final answer. ErrLeft tells that ctx ended
// first: the client went away and is owed nothing. ErrRetired: the cluster takes none.
func (c *Cluster) Do(ctx context.Context, r *Request) (Answer, error) {
	r.answer = make(chan Answer, 1)
	c.open.Add(1)
	defer c.close()
	if c.retired.Load() || !c.post(event{kind: evBegin, request: r}) {
		return Answer{}, ErrRetired
	}
	select {
	case a := <-r.answer:
		return a, nil
	case <-ctx.Done():
		if !c.post(event{kind: evLeft, request: r}) {
			<-c.gone
			r.untaken()
		}
		return Answer{}, ErrClientDisconnected
	case <-c.gone:
		select {
		case a := <-r.answer:
			return a, nil
		default: // an attempt may have run: this is no refusal, which would promise that none did
			return Answer{Verdict: Failed}, nil
		}
	}
}

// BodyComplete tells that the last byte of a request that was Coming is there, also before Do: its final
// answer must be out at end, on the Clock.
func (c *Cluster) BodyComplete(r *Request, end time.Duration) {
	c.post(event{kind: evWhole, request: r, end: end})
}

// comingMost bounds how long a request may be on its way; fronts keep a pace by the size.
const comingMost = 24 * time.Hour

func (c *Cluster) whole(now time.Duration, r *Request, end time.Duration) {
	if !r.BodyIncomplete {
		return
	}
	r.BodyIncomplete, r.Deadline = false, end
	if c.requests[r.id] != r || r.ended { // not begun yet, or over
		return
	}
	c.alarms.clear(&r.deadline)
	r.deadline = alarm{at: end, request: r, index: -1}
	c.alarms.set(&r.deadline)
	for _, a := range r.attempts {
		if !a.told {
			a.decided = now
		}
	}
	c.balancer.BodyComplete(now, r.id, max(0, end-now))
}

// close counts a request out; the last one of a retired cluster ends it.
func (c *Cluster) close() {
	if c.open.Add(-1) == 0 && c.retired.Load() {
		c.stop()
	}
}

// Retire takes no more requests, has those open finish without anything new going out
// Options.DrainGrace from now, and ends the cluster then. It does not wait.
func (c *Cluster) Retire() {
	c.UpdateEndpoints(policy.FullUpdate, nil)
	c.retired.Store(true)
	if c.open.Load() == 0 {
		c.stop()
	}
}

// LimitRetries sets how many second and later attempts may be out at once; 0: no limit.
func (c *Cluster) LimitRetries(n int) { c.maxRetries.Store(int64(n)) }

// Ended is closed when the cluster has ended.
func (c *Cluster) Ended() <-chan struct{} { return c.gone }

// Abort answers all that is open, and at once what still comes: the program ends. What surely has
// not run is refused, so that its client may ask elsewhere.
func (c *Cluster) Abort() { c.post(event{kind: evAbandon}) }

func (c *Cluster) begin(now time.Duration, r *Request) {
	c.lastID++
	for c.requests[c.lastID] != nil { // after 2^32 requests
		c.lastID++
	}
	r.id = c.lastID
	c.requests[r.id] = r
	if r.BodyIncomplete {
		r.Deadline = now + comingMost
	}
	r.deadline = alarm{at: r.Deadline, request: r, index: -1}
	if r.Class >= 0 && r.Class < len(c.classes) && c.classes[r.Class].Idempotency == policy.IdempotentByKey {
		r.window = &window{span: c.classes[r.Class].DedupWindow}
	}
	if c.leaving {
		c.finish(r, Answer{Verdict: Rejected, RetryAfter: c.comeBack})
		c.release(r)
		return
	}
	c.alarms.set(&r.deadline)
	c.balancer.Request(now, policy.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, TimeRemaining: max(0, r.Deadline-now), WorkHint: r.WorkHint, BodyIncomplete: r.BodyIncomplete,
	})
	c.release(r)
}

// untaken discards the answer of a request whose client left as it came.
func (r *Request) untaken() {
	select {
	case a := <-r.answer:
		discard(a.Value)
	default:
	}
}

// left ends a request whose client went away: nothing is owed any more.
func (c *Cluster) left(now time.Duration, r *Request) {
	if r.ended {
		r.untaken()
		return
	}
	c.end(r)
	c.balancer.ClientDisconnected(now, r.id)
	c.release(r)
}

func (c *Cluster) abandon(now time.Duration) {
	c.leaving = true
	for _, r := range c.requests {
		if !r.ended {
			c.end(r) // from here on nothing of it can begin
			verdict := Rejected
			if r.mayHaveRun() {
				verdict = Failed
			}
			c.finish(r, Answer{Verdict: verdict, RetryAfter: c.comeBack})
			c.balancer.ClientDisconnected(now, r.id)
			c.release(r)
		}
	}
}

// outcome tells the Balancer the end of an attempt, once; what comes later is dropped.
func (c *Cluster) outcome(now time.Duration, r *Request, index int, res Result) {
	a := r.attempts[index]
	if a.told {
		if a.lingers && res.Status == policy.OK {
			go r.OnLateAnswer(res.Answer)
		} else {
			discard(res.Answer)
		}
		return
	}
	a.told = true
	r.out--
	if a.retry {
		c.retries--
	}
	a.Revoke()
	served := r.served
	r.served = served || res.Status == policy.OK
	if a.lingers = r.OnLateAnswer != nil && !r.served && (r.ended || now >= r.Deadline) && a.gate.Load() == begun &&
		(res.Status == policy.Timeout || res.Status == policy.Cancelled); a.lingers {
		time.AfterFunc(r.LateAnswerTimeout, a.Stop)
	} else {
		a.Stop()
	}
	if a.mayHaveRun(res.Status) {
		r.ran = true
	} else if r.window != nil {
		r.window.neverRan(&a.Call)
	}
	c.alarms.clear(&a.timeout)
	switch {
	case r.ended && r.OnLateAnswer != nil && res.Status == policy.OK && !served:
		go r.OnLateAnswer(res.Answer)
	case r.ended:
		discard(res.Answer)
	case res.Status == policy.OK:
		c.finish(r, Answer{Verdict: Served, Value: res.Answer, From: Source{a.to, a.server}})
	case res.Answer != nil:
		r.said = res.Answer
	}
	if s, ok := r.Payload.(StreamingPayload); !r.ended && (res.Final || ok && s.Consumed()) {
		c.settle(r.id, Answer{Verdict: Failed}) // there is nothing left to send again
	}
	if !r.ended && r.out == 0 && res.Status == policy.NeverSent && r.SendAllowed != nil && !r.SendAllowed() {
		verdict := Rejected
		if r.ran {
			verdict = Failed
		}
		c.settle(r.id, Answer{Verdict: verdict, RetryAfter: r.SendRetryAfter})
	}
	c.balancer.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: index, Endpoint: a.to, Status: res.Status, RequestDone: r.ended, Latency: now - a.decided,
	})
	c.release(r)
}

// end bars attempts that wait for a connection from being sent: nothing may go out once
// the request has its final answer.
func (c *Cluster) end(r *Request) {
	r.ended = true
	for _, a := range r.attempts {
		a.Revoke()
	}
}

// finish gives the final answer.
func (c *Cluster) finish(r *Request, a Answer) {
	c.end(r)
	a.MayHaveRun = r.mayHaveRun()
	r.answer <- a
}

// mayHaveRun tells whether an attempt went out, or is out, that is not known not to have run.
func (r *Request) mayHaveRun() bool {
	ran := r.ran
	for _, t := range r.attempts {
		ran = ran || !t.told && t.mayHaveRun(policy.Cancelled)
	}
	return ran
}

// release forgets a request that is over in every way.
func (c *Cluster) release(r *Request) {
	if r.ended && r.out == 0 {
		c.alarms.clear(&r.deadline)
		delete(c.requests, r.id)
	}
}

// Send implements policy.Host.
func (c *Cluster) Send(id policy.RequestID, server policy.EndpointID, timeout time.Duration) {
	r := c.requests[id]
	if r == nil {
		return
	}
	now := c.clock.Now()
	a := &attempt{decided: now}
	c.mu.RLock()
	a.server = c.members[server]
	c.mu.RUnlock()
	a.to, a.clock, a.sent, a.may, a.left, a.window = server, c.clock, c.sent, r.SendAllowed, r.ClientDisconnected, r.window
	index := len(r.attempts)
	if index == 0 {
		r.attempts = r.first[:0]
	}
	r.attempts = append(r.attempts, a)
	r.out++
	most := c.maxTries
	if r.MaxAttempts > 0 {
		most = min(most, r.MaxAttempts)
	}
	limit := int(c.maxRetries.Load())
	full := index > 0 && limit > 0 && c.retries >= limit
	if s, ok := r.Payload.(StreamingPayload); ok && index > 0 {
		full = full || s.Consumed() || r.out > 1 && s.Streaming()
	}
	if r.ended || index >= most || now >= r.Deadline || a.server == nil || full {
		c.after = append(c.after, event{kind: evOutcome, request: r, index: index, result: Result{Status: policy.NeverSent}})
		return
	}
	if index > 0 {
		a.retry = true
		c.retries++
	}
	if r.PerTryTimeout > 0 && (timeout == 0 || timeout > r.PerTryTimeout) {
		timeout = r.PerTryTimeout
	}
	_, patient := r.Payload.(SelfTimedPayload)
	if timeout > 0 && now+timeout < r.Deadline && !patient {
		a.timeout = alarm{at: now + timeout, request: r, index: index}
		c.alarms.set(&a.timeout)
	}
	left := r.Deadline - now
	if r.BodyIncomplete {
		left = r.UploadTimeout
	}
	go func() {
		res := c.ex.Exchange(&a.Call, server, r.Payload, left)
		if !c.post(event{kind: evOutcome, request: r, index: index, result: res}) {
			discard(res.Answer)
		}
	}()
}

// Cancel implements policy.Host.
func (c *Cluster) Cancel(id policy.RequestID, index int) {
	if r := c.requests[id]; r != nil && index < len(r.attempts) {
		c.after = append(c.after, event{kind: evOutcome, request: r, index: index, result: Result{Status: policy.Cancelled}})
	}
}

// Reject implements policy.Host.
func (c *Cluster) Reject(id policy.RequestID, retryAfter time.Duration) {
	c.settle(id, Answer{Verdict: Rejected, RetryAfter: retryAfter})
}

// Fail implements policy.Host.
func (c *Cluster) Fail(id policy.RequestID) { c.settle(id, Answer{Verdict: Failed}) }

func (c *Cluster) settle(id policy.RequestID, a Answer) {
	if r := c.requests[id]; r != nil && !r.ended {
		a.Value = r.said
		c.finish(r, a)
		c.after = append(c.after, event{kind: evRelease, request: r})
	}
}

// SetTimer implements policy.Host.
func (c *Cluster) SetTimer(at time.Duration, token uint64) {
	c.alarms.set(&alarm{at: at, token: token, index: -1})
}

// WatchEndpoints implements policy.Host.
func (c *Cluster) WatchEndpoints() {
	if c.watch != nil {
		c.watch()
	}
}
