// Package fleetsim plays a day of a fleet in virtual time: nodes that decide, each with a real
// policy.Balancer or a peer to compare with, servers by internal/model, clients with their own
// retries. The same day with the same seed gives the same result, byte by byte.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/fleet/owner"
	"yokestall/internal/model"
	"yokestall/policy"
)

// Decider decides for one node; *policy.Balancer is one.
type Decider interface {
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	Left(now time.Duration, id policy.RequestID)
	Timer(now time.Duration, token uint64)
	Members(now time.Duration, kind policy.ListKind, entries []policy.Entry)
}

// MakeDecider makes a node's.
type MakeDecider func(set policy.Settings, seed uint64, host policy.Host) (Decider, error)

// Class is a class of requests with its load.
type Class struct {
	Name string
	policy.Class
	Work   time.Duration // mean, on a core of speed 1
	Spread model.Spread
	Rate   float64 // requests a second, at a load of 1
}

// Clients are what all of them do.
type Clients struct {
	Retries int           // of their own
	Wait    time.Duration // before each; a longer Retry-After is heeded by Honest of them
	Honest  float64       // share
	Align   time.Duration // tries again at whole multiples of it; 0: at any time
}

// Trouble is what befalls some servers.
type Trouble struct {
	From, To    time.Duration
	First, Last int // servers
	Down        bool
	Drain       bool // they drain, and are replaced by cold ones at To
	Nodes       bool // First to Last are nodes, which are dead, and start anew at To, knowing nothing
	// Knows has these nodes start with what they knew when they died.
	Knows bool
	// Smaller is the share of its kind's speed that a server has which comes back from Down or Drain; 0: all of it.
	Smaller float64
	// Holds has servers work on, and their answers go out all at once at To.
	Holds bool
	With  model.Trouble
}

// Day is what is played.
type Day struct {
	Length   time.Duration
	Nodes    int
	Servers  int
	Kind     model.Kind
	Settings policy.Settings // Nodes and Node are filled in
	Classes  []Class
	Load     model.Curve
	Clients  Clients
	Troubles []Trouble
	Delay    time.Duration // of the network, one way; drawn up to half as long again
	News     time.Duration // after which a change of the list is told
	Lead     float64       // share of the requests that goes to node 0; 0: as to each
	// Deal is how long a node does without what it lends of cold servers' budgets, where an owner deals them out; 0: equal parts.
	Deal time.Duration
}

// Tally counts requests of a class.
type Tally struct {
	Asked, InAim, Late, Refused, Failed int64
	Worth                               float64 // earned
	Wanted                              float64
	Times                               *hdrhistogram.Histogram // of answers in microseconds, from the client's first try
}

// Result is what came of a day.
type Result struct {
	Classes  []Tally
	Sends    int64
	Copies   int64 // second and later attempts
	Strays   int64 // sent over 500 ms after word of a drain
	Twice    int64 // effects that happened twice
	Fallen   int64 // cold servers that were pushed over
	Answers  int64 // final answers beyond one for a try
	Events   int64
	MaxShare float64 // the busiest server's sends over the mean
	// Seconds is the share of the worth earned in each second.
	Seconds []float64
	// Tenths is the worth that was earned in each tenth of a second, by the time of the answers.
	Tenths []float64
}

// Service is the worth earned of the worth asked for.
func (r *Result) Service() float64 {
	earned, wanted := 0.0, 0.0
	for _, t := range r.Classes {
		earned, wanted = earned+t.Worth, wanted+t.Wanted
	}
	return earned / max(wanted, 1e-9)
}

// Broken tells which rules were.
func (r *Result) Broken() (list []string) {
	for what, n := range map[string]int64{
		"sends to drained servers": r.Strays, "effects that happened twice": r.Twice,
		"cold servers pushed over": r.Fallen, "answers beyond one": r.Answers,
	} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, what))
		}
	}
	return list
}

const drainRule = 500 * time.Millisecond

type kind uint8

const (
	evArrival kind = iota // of a client's request, class
	evTry                 // of a request, at a node
	evSend                // at a server
	evReply               // back at the node
	evTimeout             // of an attempt
	evEnd                 // of a try's time
	evTimer               // of a Decider
	evDone                // a server's next job may have ended
	evTrouble             // begins or ends
	evNews                // of the list, to all nodes
	evPart                // a node looks at its part of cold servers' budgets, and trades at times
	evTrade               // reaches the owner
	evDeal                // is back at the node
)

type event struct {
	at     time.Duration
	seq    uint64
	kind   kind
	status policy.Status
	node   *node
	try    *try
	index  int
	token  uint64
	server int
	call   *call
	trade  owner.Trade
	deal   owner.Deal
}

type events []event

func (d events) Len() int { return len(d) }
func (d events) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d events) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *events) Push(x any) { *d = append(*d, x.(event)) }

// Pop implements heap.Interface.
func (d *events) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = event{}
	*d = (*d)[:last]
	return x
}

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

type attempt struct {
	server  int
	decided time.Duration
	told    bool
}

// member is a server's place in the fleet.
type member struct {
	*model.Server
	id     policy.ServerID
	next   time.Duration // when an evDone is due; -1
	told   time.Duration // word of its drain; 0: none
	state  policy.State
	since  time.Duration // its start, as the list says it; 0: long past
	sent   int64
	coming time.Duration     // work sent that has not reached it
	job    map[uint64]*event // by job
	jobSeq uint64
	holds  bool
	held   []*event // answers that wait for the end of a trouble
}

// sim is a day while it is played.
type sim struct {
	day     *Day
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	queue   events
	nodes   []*node
	members []*member
	lastID  policy.ServerID
	result  *Result
	seconds []struct{ earned, wanted float64 }
	with    MakeDecider
	seed    uint64
	dealer  *owner.Dealer
}

// node hosts a Decider.
type node struct {
	*sim
	decider Decider
	tries   map[policy.RequestID]*try
	lastID  policy.RequestID
	after   []func() // what host calls leave to be told
	down    bool
	set     policy.Settings
	starts  uint64
	knew    *policy.Knowledge // when it died,
	diedAt  time.Duration     // at that time
	lending
}

// Play plays a day.
func Play(day *Day, seed uint64, with MakeDecider) (*Result, error) {
	s := &sim{day: day, rng: rand.New(rand.NewPCG(seed, 7)), result: &Result{}, with: with, seed: seed}
	s.result.Tenths = make([]float64, int(day.Length/tenth)+1)
	s.seconds = make([]struct{ earned, wanted float64 }, int(day.Length/time.Second)+1)
	for range day.Classes {
		s.result.Classes = append(s.result.Classes, Tally{Times: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	for range day.Servers {
		s.lastID++
		s.members = append(s.members, &member{Server: model.NewServer(&day.Kind), id: s.lastID, next: -1, state: policy.Ready, job: map[uint64]*event{}})
	}
	set := day.Settings
	set.Nodes, set.Classes = day.Nodes, nil
	for _, c := range day.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for i := range day.Nodes {
		set.Node = i
		n := &node{sim: s, set: set}
		if err := n.start(); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	for class := range day.Classes {
		s.arrive(class)
	}
	if day.Deal > 0 {
		s.dealer = owner.NewDealer(1, s.lendTerms())
	}
	for i := range day.Troubles {
		s.post(event{at: day.Troubles[i].From, kind: evTrouble, index: i})
		s.post(event{at: day.Troubles[i].To, kind: evTrouble, index: i, token: 1})
	}
	longest := time.Duration(0)
	for _, c := range day.Classes {
		longest = max(longest, c.Deadline)
	}
	end := day.Length + time.Duration(day.Clients.Retries+1)*(longest+day.Clients.Wait) + time.Minute
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now > end {
			break // timers of deciders that go on for ever
		}
		s.result.Events++
		s.handle(&e)
	}
	s.finish()
	return s.result, nil
}

func (s *sim) finish() {
	total, most := int64(0), int64(0)
	for _, m := range s.members {
		total, most = total+m.sent, max(most, m.sent)
	}
	s.result.MaxShare = float64(most) * float64(len(s.members)) / float64(max(1, total))
	for _, sec := range s.seconds {
		share := 1.0
		if sec.wanted > 0 {
			share = sec.earned / sec.wanted
		}
		s.result.Seconds = append(s.result.Seconds, share)
	}
}

func (s *sim) post(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// delay draws the network's.
func (s *sim) delay() time.Duration {
	return s.day.Delay + time.Duration(s.rng.Int64N(int64(s.day.Delay)/2+1))
}

func (s *sim) arrive(class int) {
	at, ok := model.NextArrival(s.now, s.day.Length, s.day.Classes[class].Rate, s.day.Load, s.rng)
	if ok {
		s.post(event{at: at, kind: evArrival, index: class})
	}
}

func (s *sim) handle(e *event) {
	switch e.kind {
	case evArrival:
		s.arrive(e.index)
		c := &s.day.Classes[e.index]
		s.seq++
		k := &call{class: e.index, began: s.now, left: s.day.Clients.Retries, work: time.Duration(float64(c.Work) * c.Spread.Draw(s.rng))}
		if c.Effect == policy.Keyed {
			k.key = strconv.FormatUint(s.seq, 36)
		}
		t := &s.result.Classes[k.class]
		t.Asked++
		t.Wanted += c.Worth
		s.seconds[k.began/time.Second].wanted += c.Worth
		s.post(event{at: s.now, kind: evTry, call: k})
	case evTry:
		if n := s.front(); n != nil {
			n.take(e.call)
		} else {
			s.unanswered(e.call)
		}
	case evPart, evTrade, evDeal:
		s.lend(e)
	case evSend:
		s.reach(e)
	case evReply:
		e.node.outcome(e.try, e.index, e.status)
	case evTimeout:
		e.node.outcome(e.try, e.index, policy.Timeout)
	case evEnd:
		e.node.end(e.try)
	case evTimer:
		if e.index == int(e.node.starts) && !e.node.down {
			e.node.tell(func() { e.node.decider.Timer(s.now, e.token) })
		}
	case evDone:
		s.done(e.server)
	case evTrouble:
		s.trouble(&s.day.Troubles[e.index], e.token == 1)
	case evNews:
		entries := s.list()
		for _, m := range s.members {
			if m.state == policy.Draining && m.told == 0 {
				m.told = s.now
			}
		}
		for _, n := range s.nodes {
			if !n.down {
				n.tell(func() { n.decider.Members(s.now, policy.ListFull, entries) })
			}
		}
	}
}

// list is the servers as the nodes are told of them.
func (s *sim) list() (entries []policy.Entry) {
	for _, m := range s.members {
		if m.state != policy.Gone {
			entries = append(entries, policy.Entry{Server: m.id, State: m.state, Weight: 1, Started: m.since})
		}
	}
	return entries
}

// reach has an attempt come to its server.
func (s *sim) reach(e *event) {
	m := s.members[e.server]
	m.coming -= e.try.call.work
	if policy.ServerID(e.token) != m.id { // replaced meanwhile
		s.reply(e, policy.ConnectFailed)
		return
	}
	k := e.try.call
	m.jobSeq++
	j := model.Job{ID: m.jobSeq, Work: k.work, Key: k.key}
	fate, lost := m.Arrive(s.now, j, s.rng)
	switch fate {
	case model.Taken:
		kept := *e
		m.job[j.ID] = &kept
	case model.Full:
		s.reply(e, policy.Full)
	case model.Failed:
		s.reply(e, policy.Error)
	case model.Dropped:
		s.reply(e, policy.OK)
	case model.NoOne:
		s.reply(e, policy.ConnectFailed)
	case model.Fell:
		s.result.Fallen++
		s.lose(m, lost)
		s.reply(e, policy.Reset)
	}
	s.due(e.server)
}

// lose breaks the connections of jobs.
func (s *sim) lose(m *member, lost []model.Job) {
	for _, e := range m.held {
		s.reply(e, policy.Reset)
	}
	m.held = nil
	for _, j := range lost {
		if e := m.job[j.ID]; e != nil {
			delete(m.job, j.ID)
			s.reply(e, policy.Reset)
		}
	}
}

func (s *sim) reply(e *event, status policy.Status) {
	s.post(event{at: s.now + s.delay(), kind: evReply, node: e.node, try: e.try, index: e.index, status: status})
}

// due has the end of a server's next job come up.
func (s *sim) due(server int) {
	m := s.members[server]
	if at, ok := m.Next(); ok && (m.next < 0 || at < m.next) {
		m.next = at
		s.post(event{at: at, kind: evDone, server: server})
	}
}

func (s *sim) done(server int) {
	m := s.members[server]
	m.next = -1
	for {
		j, ok := m.Pop(s.now)
		if !ok {
			break
		}
		e := m.job[j.ID]
		delete(m.job, j.ID)
		if e == nil {
			continue
		}
		k := e.try.call
		if k.effects++; k.effects == 2 && s.day.Classes[k.class].Effect == policy.Unsafe {
			s.result.Twice++
		}
		switch {
		case m.holds:
			m.held = append(m.held, e)
		case !m.Trouble.Silent:
			s.reply(e, policy.OK)
		}
	}
	s.due(server)
}

func (s *sim) trouble(t *Trouble, over bool) {
	if t.Nodes {
		for _, n := range s.nodes[t.First : t.Last+1] {
			if !over {
				n.die()
				continue
			}
			n.start() // it was made of the same settings before
			if t.Knows {
				n.inherit()
			}
		}
		return
	}
	for i := t.First; i <= t.Last; i++ {
		m := s.members[i]
		switch {
		case t.Down && !over:
			s.lose(m, m.Down())
		case t.Down:
			s.back(m, t)
		case t.Drain && !over:
			m.state = policy.Draining
		case t.Drain: // another one in its place, cold
			s.lose(m, m.Down())
			s.lastID++
			m.id, m.state, m.told = s.lastID, policy.Ready, 0
			s.back(m, t)
		case t.Holds && !over:
			m.holds = true
		case t.Holds:
			for _, e := range m.held {
				s.reply(e, policy.OK)
			}
			m.holds, m.held = false, nil
		case over:
			m.Trouble = model.Trouble{}
		default:
			m.Trouble = t.With
		}
	}
	s.post(event{at: s.now + s.day.News, kind: evNews})
}

// back has a server start, cold, perhaps as a smaller one.
func (s *sim) back(m *member, t *Trouble) {
	if t.Smaller > 0 { // another machine
		kind := s.day.Kind
		kind.Speed *= t.Smaller
		m.Server = model.NewServer(&kind)
		s.lastID++
		m.id = s.lastID
	}
	m.Start(s.now)
	m.since = s.now
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

func (n *node) take(k *call) {
	n.taken++
	c := &n.day.Classes[k.class]
	n.lastID++
	t := &try{call: k, node: n, id: n.lastID, end: n.now + c.Deadline}
	n.tries[t.id] = t
	n.post(event{at: t.end, kind: evEnd, node: n, try: t})
	n.tell(func() { n.decider.Request(n.now, policy.Request{ID: t.id, Class: k.class, Left: c.Deadline}) })
}

// Send implements policy.Host.
func (n *node) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
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
		n.after = append(n.after, func() { n.outcome(t, index, policy.Moot) })
		return
	}
	m := n.members[place]
	n.result.Sends++
	if index > 0 {
		n.result.Copies++
	}
	if m.told > 0 && n.now > m.told+drainRule {
		n.result.Strays++
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

// Refuse implements policy.Host.
func (n *node) Refuse(id policy.RequestID, after time.Duration) { n.settle(id, true, after) }

// Fail implements policy.Host.
func (n *node) Fail(id policy.RequestID) { n.settle(id, false, 0) }

// SetTimer implements policy.Host.
func (n *node) SetTimer(at time.Duration, token uint64) {
	n.post(event{at: max(at, n.now), kind: evTimer, node: n, token: token, index: int(n.starts)})
}

// WatchList implements policy.Host: lists are pushed here.
func (n *node) WatchList() {}

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
		n.result.Answers++
		return
	}
	tally := &n.result.Classes[k.class]
	if k.left > 0 && (refused || n.day.Classes[k.class].Effect != policy.Unsafe) {
		n.again(k, after)
		return
	}
	k.done = true
	if refused {
		tally.Refused++
	} else {
		tally.Failed++
	}
}

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
	id := policy.ServerID(0)
	if a.server >= 0 {
		id = n.members[a.server].id
	}
	n.tell(func() {
		n.decider.Outcome(n.now, policy.Outcome{
			ID: t.id, Attempt: index, Server: id, Status: status, Ended: t.answered, Latency: n.now - a.decided,
		})
	})
	n.release(t)
}

func (n *node) served(t *try) {
	t.answered = true
	k := t.call
	if k.done {
		n.result.Answers++
		return
	}
	k.done = true
	c, tally := &n.day.Classes[k.class], &n.result.Classes[k.class]
	took := n.now - k.began
	tally.Times.RecordValue(max(1, took.Microseconds()))
	worth := c.Worth
	if aim := c.Aim; aim > 0 && took > aim {
		tally.Late++
		worth *= c.LateWorth
	} else {
		tally.InAim++
	}
	tally.Worth += worth
	n.seconds[k.began/time.Second].earned += worth
	if at := int(n.now / tenth); at < len(n.result.Tenths) {
		n.result.Tenths[at] += worth
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
		n.tell(func() { n.decider.Left(n.now, t.id) })
	}
	n.release(t)
}

func (n *node) release(t *try) {
	if t.answered && t.out == 0 {
		delete(n.tries, t.id)
	}
}
