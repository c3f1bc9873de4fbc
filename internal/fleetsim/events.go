package fleetsim

import (
	"container/heap"
	"strconv"
	"time"

	"yokestall/internal/fleet/ownership"
	"yokestall/internal/model"
	"yokestall/policy"
)

// kind is what an event is.
type kind uint8

const (
	evArrival      kind = iota // of a client's request, class
	evTry                      // of a request, at a node
	evSend                     // at a server
	evReply                    // back at the node
	evTimeout                  // of an attempt
	evEnd                      // of a try's time
	evTimer                    // of a Decider
	evDone                     // a server's next job may have ended
	evTrouble                  // begins or ends
	evNews                     // of the list, to all nodes
	evUpdateShare              // a node's share of cold servers' budgets
	evShareRequest             // reaches the owner
	evShareReply               // is back at the node
)

// event is something that happens at a time. Which of the fields are set depends on its kind.
type event struct {
	at      time.Duration
	seq     uint64
	kind    kind
	status  policy.Status
	node    *node
	try     *try
	index   int
	token   uint64
	server  int
	call    *call
	request ownership.LeaseRequest
	reply   ownership.LeaseReply
}

// events is a heap of events, the earliest first, and of those at one time the one that was posted first.
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

// post adds an event to the queue.
func (s *sim) post(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// delay draws the delay of a message over the network.
func (s *sim) delay() time.Duration {
	return s.day.NetworkDelay + time.Duration(s.rng.Int64N(int64(s.day.NetworkDelay)/2+1))
}

// arrive posts the arrival of the next request of a class.
func (s *sim) arrive(class int) {
	at, ok := model.NextArrival(s.now, s.day.Length, s.day.Classes[class].Rate, s.day.Load, s.rng)
	if ok {
		s.post(event{at: at, kind: evArrival, index: class})
	}
}

// handle does what an event asks for.
func (s *sim) handle(e *event) {
	switch e.kind {
	case evArrival:
		s.arrived(e.index)
	case evTry:
		if n := s.front(); n != nil {
			n.take(e.call)
		} else {
			s.unanswered(e.call)
		}
	case evUpdateShare, evShareRequest, evShareReply:
		s.stepLending(e)
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
		s.trouble(&s.day.Faults[e.index], e.token == 1)
	case evNews:
		s.announceList()
	}
}

// arrived begins a client's request, and has the next one of its class arrive.
func (s *sim) arrived(class int) {
	s.arrive(class)
	c := &s.day.Classes[class]
	s.seq++
	k := &call{class: class, began: s.now, left: s.day.Clients.Retries, work: time.Duration(float64(c.Work) * c.Spread.Draw(s.rng))}
	if c.Idempotency == policy.IdempotentByKey {
		k.key = strconv.FormatUint(s.seq, 36)
	}
	t := &s.result.Classes[k.class]
	t.Requests++
	t.RequestedWeight += c.PriorityWeight
	s.seconds[k.began/time.Second].wanted += c.PriorityWeight
	s.post(event{at: s.now, kind: evTry, call: k})
}

// announceList tells all nodes of the list of servers as it is.
func (s *sim) announceList() {
	entries := s.list()
	for _, m := range s.members {
		if m.state == policy.Draining && m.told == 0 {
			m.told = s.now
		}
	}
	for _, n := range s.nodes {
		if !n.down {
			n.tell(func() { n.decider.UpdateEndpoints(s.now, policy.FullUpdate, entries) })
		}
	}
}
