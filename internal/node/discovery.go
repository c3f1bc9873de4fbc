package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	lookWait      = time.Millisecond       // what a second look asks discovery to wait: no time
	watchPause    = 20 * time.Millisecond  // a watch answered sooner is followed by such a pause
	recheckFirst  = 500 * time.Millisecond // until the whole list is asked for after a doubtful answer
	recheckMost   = time.Minute
	complainEvery = time.Second
	maxRefusal    = 4 << 10 // bytes read of an answer that is none
)

// known is the list as a node last had it, as its configuration holds it.
type known struct {
	Generation uint64               `json:"generation"`
	Reset      bool                 `json:"reset"`
	Instances  []discovery.Instance `json:"instances"`
}

// endpointWatcher follows the list of servers.
type endpointWatcher struct {
	to     listener
	zones  map[string]int
	asked  bool // calls load discovery: the module says when to start a watch
	terms  discovery.Terms
	wanted chan struct{}
	moved  <-chan string // the latest address to follow the list at
	first  chan struct{} // closed once a list was told, or is waited for no longer
	clock  engine.Clock
	log    *slog.Logger
	price  float64      // of a hundred lines a request
	taken  func() int64 // requests so far; nil: nobody counts
	since  time.Time    // the start
	begun  func()       // called once the first list was told; nil: nothing is

	mu        sync.Mutex // guards what follows, and keeps news in their order
	list      discovery.Known
	admin     adminstate.State
	source    *source              // whose list it is
	told      bool                 // a list was
	had       []discovery.Instance // what the start was given
	recheck   discovery.Pace       // after answers in doubt
	recheckAt time.Time            // when all is asked for again; zero: no need
}

// source is one address of discovery.
type source struct {
	url        string
	client     *http.Client
	pace       discovery.Pace // after failures; of follow's goroutine, as is
	complained time.Time      // when a failure was last logged
	leave      context.CancelFunc
	// What follows is guarded by discovery.mu.
	listed     bool // it has given its list; the generation may well be 0
	generation uint64
	over       func() // called once, when it has given its list: it takes over from another one
}

// listener takes news of the list: where servers are, and what decides makes of it.
type listener interface {
	Servers(whole bool, list []h1client.Server)
	UpdateEndpoints(kind policy.UpdateKind, entries []policy.Endpoint) bool
}

func newEndpointWatcher(cfg *Config, clock engine.Clock, moved <-chan string, log *slog.Logger) *endpointWatcher {
	terms := cfg.terms
	switch {
	case terms.Most > 0:
	case cfg.Policy.PollEndpoints:
		terms = discovery.Asked()
	default:
		terms = discovery.Pushed(cfg.DrainGrace)
	}
	d := &endpointWatcher{
		zones: cfg.Zones, moved: moved,
		asked: cfg.Policy.PollEndpoints, terms: terms, wanted: make(chan struct{}, 1), first: make(chan struct{}),
		recheck: discovery.Pace{First: recheckFirst, Most: recheckMost},
		clock:   clock,
		log:     log,
		price:   cfg.ListPrice,
		since:   time.Now(),
	}
	d.source = d.at(cfg.Discovery)
	return d
}

// at gives a source that nobody follows yet.
func (d *endpointWatcher) at(addr string) *source {
	// A connection that never comes up must not outlive many calls: they are bounded, it is not.
	dialer := net.Dialer{Timeout: d.terms.Look, KeepAlive: -1}
	return &source{
		url:    "http://" + addr + "/registry/instances",
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		pace:   d.terms.Pace,
	}
}

// watch has a watch of the list started.
func (d *endpointWatcher) watch() {
	select {
	case d.wanted <- struct{}{}:
	default: // one is wanted already
	}
}

// run starts from the list as it was known and follows it until the context ends. Where lists are
// pushed, what the agent has counts from the first moment on: it is heard before the known list is
// gone by, unless it is silent. When discovery moves, the list is followed at the old address until
// the new one has given its own.
func (d *endpointWatcher) run(ctx context.Context, last known, ready func()) {
	d.mu.Lock()
	s := d.source
	s.generation, s.listed = last.Generation, len(last.Instances) > 0
	d.had = last.Instances
	d.mu.Unlock()
	var following sync.WaitGroup
	defer following.Wait()
	follow := func(s *source, watching bool) {
		here, leave := context.WithCancel(ctx)
		s.leave = leave
		following.Go(func() {
			defer s.client.CloseIdleConnections()
			d.follow(here, s, watching, ready)
		})
	}
	known := func(settled func()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.told {
			return
		}
		if len(last.Instances) > 0 {
			d.tell(policy.CachedUpdate, d.list.Whole(&discovery.Answer{Reset: true, Lines: last.Instances}))
			settled()
			d.settled()
		} else if d.asked {
			d.tell(policy.CachedUpdate, nil) // has the module ask for the list
			d.told = false
			d.settled()
		} else {
			d.settled() // the agent has nothing to say, and there is nothing else to go by
		}
	}
	if d.asked {
		known(ready)
		follow(s, false)
	} else {
		follow(s, true)
		held := time.AfterFunc(d.terms.Start, func() {
			known(func() {
				late := time.AfterFunc(d.terms.Ready-d.terms.Start, ready)
				context.AfterFunc(ctx, func() { late.Stop() })
			})
		})
		defer held.Stop()
	}
	var next *source
	for {
		select {
		case addr := <-d.moved:
			d.log.Info("discovery moves", "addr", addr)
			d.mu.Lock()
			old := d.source
			if next != nil && next != old { // it has given nothing, and is not wanted any more
				next.leave()
				next.over = nil
			}
			next = d.at(addr)
			next.over = func() { old.leave() }
			d.mu.Unlock()
			follow(next, true)
		case <-ctx.Done():
			return
		}
	}
}

// settled notes that there is a list to go by, or that none is waited for. d.mu is held.
func (d *endpointWatcher) settled() {
	select {
	case <-d.first:
	default:
		close(d.first)
	}
}

// follow watches the list at one address until the context ends.
func (d *endpointWatcher) follow(ctx context.Context, s *source, watching bool, ready func()) {
	failed := false // the last question did
	turn := turns{wanted: d.wanted, rest: d.terms.Rest}
	for ctx.Err() == nil {
		if !watching {
			turn.wait(ctx)
			if ctx.Err() != nil {
				return
			}
		}
		asked := time.Now()
		answer, err := d.get(ctx, s, failed)
		if ctx.Err() != nil {
			return
		}
		failed = err != nil
		if err == nil {
			if !d.take(s, answer) {
				return
			}
			if answer.Doubt == nil || d.serves() {
				ready()
			}
			s.pace.Good()
			watching = true
			if time.Since(asked) < watchPause {
				// A discovery that doesn't wait must not be asked in a loop without a breath.
				pause(ctx, watchPause)
			}
			continue
		}
		s.complain(d.log, err)
		s.client.CloseIdleConnections() // they may be as dead as the one that failed
		if d.asked && d.current(s) {
			watching = false
			if turn.failed() {
				d.to.UpdateEndpoints(policy.UpdateFailed, nil) // it asks again after a while
			}
			continue
		}
		// Nodes that lost discovery together must not come back in step.
		pause(ctx, s.pace.Failed(rand.Float64()))
	}
}

// complain logs a failure, not each one of many in a row.
func (s *source) complain(log *slog.Logger, err error) {
	if now := time.Now(); now.Sub(s.complained) >= complainEvery {
		s.complained = now
		log.Warn("discovery failed", "addr", s.url, "err", err)
	}
}

// current tells whether a source is the one whose list it is.
func (d *endpointWatcher) current(s *source) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source == s
}

// take follows an answer. Where lines of it are in doubt the whole list is asked for after a
// while; the watch goes on until then, since a line may stay as it is for good. Not ours: the list
// is followed at another address by now.
func (d *endpointWatcher) take(s *source, a *discovery.Answer) (ours bool) {
	var wait time.Duration
	if a.Doubt != nil {
		wait = max(d.recheck.Failed(rand.Float64()), d.recheckAfter())
		d.log.Warn("list in doubt", "err", a.Doubt, "asked again after", wait)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.source == s:
	case s.over == nil: // another one has taken over
		return false
	default:
		s.over()
		d.source = s
	}
	s.over = nil
	s.listed, s.generation = true, a.Generation
	if !d.told && len(d.had) > 0 { // the answer may tell of changes alone
		d.tell(policy.CachedUpdate, d.list.Whole(&discovery.Answer{Reset: true, Lines: d.had}))
	}
	defer d.settled()
	switch {
	case a.Doubt != nil:
		d.recheckAt = time.Now().Add(wait)
	case a.Reset:
		d.recheck.Good()
		d.recheckAt = time.Time{}
	}
	lines := d.list.Whole(a)
	switch {
	case a.Reset:
		d.tell(policy.FullUpdate, lines)
	case len(lines) > 0:
		d.tell(policy.DeltaUpdate, lines)
	}
	return true
}

// recheckAfter is the least wait that the price of lists asks for.
func (d *endpointWatcher) recheckAfter() time.Duration {
	if d.price <= 0 || d.taken == nil {
		return 0
	}
	perSecond := float64(d.taken()) / max(time.Since(d.since).Seconds(), 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return discovery.RecheckAfter(d.price, d.list.Len(), perSecond, recheckMost)
}

func (d *endpointWatcher) serves() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Serves()
}

// check tells whether operators may ask for a change, and whether it makes a difference.
func (d *endpointWatcher) check(c adminstate.Change) (differs bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admin.HasEffect(c), d.admin.Validate(c, d.list.Seen)
}

// change takes up what operators asked for. When it returns, the change is in force.
func (d *endpointWatcher) change(c adminstate.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admin.Apply(c) && c.Operation.TargetsInstance() {
		if l, listed := d.list.Line(c.InstanceID); listed {
			d.tell(policy.DeltaUpdate, []discovery.Instance{l})
		}
	}
}

// snapshot gives the list as it is known.
func (d *endpointWatcher) snapshot() known {
	d.mu.Lock()
	defer d.mu.Unlock()
	return known{Generation: d.source.generation, Reset: d.source.listed, Instances: d.list.Lines()}
}

func (d *endpointWatcher) changes() []adminstate.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admin.MinimalChanges()
}

// administered gives the servers that operators have taken out, and whether the node is to be empty.
func (d *endpointWatcher) administered() (out []string, lame bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lame = d.admin.LameDuckSince()
	return d.admin.DetachedIDs(), lame
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// get asks for what is newer than the list at hand, and waits for it. With no list at hand it asks
// for all. Where the answer is overdue it looks again beside, as the terms say, and takes what comes
// first; the error is that of the call that failed last. Behind a question that failed the first call
// does not wait for news: one that waits says nothing of whether discovery can be reached.
func (d *endpointWatcher) get(ctx context.Context, s *source, failed bool) (*discovery.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the calls that nobody waits for any more
	d.mu.Lock()
	wait, whole, after := d.terms.Wait, !s.listed, s.generation
	if !d.recheckAt.IsZero() {
		wait = min(wait, time.Until(d.recheckAt))
		whole = whole || wait <= 0
	}
	if !d.told || whole || failed {
		wait = 0 // what there is is wanted now
	}
	d.mu.Unlock()
	type result struct {
		answer *discovery.Answer
		err    error
	}
	results := make(chan result, d.terms.Most)
	call := func(wait, takes time.Duration) {
		query := ""
		if !whole {
			query = "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(max(lookWait, wait).Milliseconds(), 10)
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, takes)
			defer cancel()
			a, err := s.call(ctx, query, whole)
			results <- result{a, err}
		}()
	}
	began := time.Now()
	calls, takes := d.terms.Ask(wait)
	call(wait, takes)
	timer := time.NewTimer(calls.Next())
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil || calls.Failed() {
				return r.answer, r.err
			}
		case <-timer.C:
			if calls.Due(time.Since(began)) {
				call(lookWait, d.terms.Look)
			}
			timer.Reset(calls.Next() - time.Since(began))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// call makes one call.
func (s *source) call(ctx context.Context, query string, whole bool) (*discovery.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.CopyN(io.Discard, resp.Body, maxRefusal) // the connection may be of use again
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, discovery.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	return discovery.Parse(text, whole, time.Now())
}

// tell passes a list on, with what operators have said laid over it. d.mu is held.
func (d *endpointWatcher) tell(kind policy.UpdateKind, list []discovery.Instance) {
	list = d.admin.Overlay(list)
	servers := make([]h1client.Server, 0, len(list))
	entries := make([]policy.Endpoint, 0, len(list))
	for i := range list {
		in := &list[i]
		state := in.State()
		zone, ok := d.zones[in.Zone]
		if !ok {
			zone = len(d.zones) // no zone of ours
		}
		servers = append(servers, h1client.Server{
			ID: in.ID(), Address: in.HostPort, Start: in.StartedAtMs, Gone: state == policy.Removed,
		})
		entries = append(entries, policy.Endpoint{
			ID: in.ID(), Zone: zone, Cell: in.Cell, State: state,
			Weight: in.Weight, StartedAt: d.started(in.StartedAtMs),
		})
	}
	d.to.Servers(kind != policy.DeltaUpdate, servers) // before any of them can be chosen
	d.to.UpdateEndpoints(kind, entries)
	if begun := d.begun; begun != nil {
		d.begun = nil
		begun()
	}
	d.told = true
}

// started maps wall time onto the clock.
func (d *endpointWatcher) started(unixMs float64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return d.clock.At(time.UnixMilli(int64(unixMs)))
}
