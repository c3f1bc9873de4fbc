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
	try     *nodeRequest
	index   int
	token   uint64
	server  int
	client  *clientRequest
	request ownership.LeaseRequest
	reply   ownership.LeaseReply
}

// eventQueue is a heap of eventQueue, the earliest first, and of those at one time the one that was posted first.
type eventQueue []event

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}

func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *eventQueue) Push(x any) { *d = append(*d, x.(event)) }

// Pop implements heap.Interface.
func (d *eventQueue) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = event{}
	*d = (*d)[:last]
	return x
}

// post adds an event to the queue.
func (s *simulation) post(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// delay draws the delay of a message over the network.
func (s *simulation) delay() time.Duration {
	return s.scenario.NetworkDelay + time.Duration(s.rng.Int64N(int64(s.scenario.NetworkDelay)/2+1))
}

// scheduleArrival posts the arrival of the next request of a class.
func (s *simulation) scheduleArrival(class int) {
	at, ok := model.NextArrival(s.now, s.scenario.Length, s.scenario.Classes[class].Rate, s.scenario.Load, s.rng)
	if ok {
		s.post(event{at: at, kind: evArrival, index: class})
	}
}

// handle does what an event asks for.
func (s *simulation) handle(e *event) {
	switch e.kind {
	case evArrival:
		s.handleArrival(e.index)
	case evTry:
		if n := s.pickNode(); n != nil {
			n.receive(e.client)
		} else {
			s.connectionLost(e.client)
		}
	case evUpdateShare, evShareRequest, evShareReply:
		s.stepLending(e)
	case evSend:
		s.arriveAtServer(e)
	case evReply:
		e.node.reportOutcome(e.try, e.index, e.status)
	case evTimeout:
		e.node.reportOutcome(e.try, e.index, policy.Timeout)
	case evEnd:
		e.node.expire(e.try)
	case evTimer:
		if e.index == int(e.node.incarnation) && !e.node.down {
			e.node.callDecider(func() { e.node.decider.Timer(s.now, e.token) })
		}
	case evDone:
		s.completeJobs(e.server)
	case evTrouble:
		s.applyFault(&s.scenario.Faults[e.index], e.token == 1)
	case evNews:
		s.sendEndpointList()
	}
}

// handleArrival begins a client's request, and has the next one of its class arrive.
func (s *simulation) handleArrival(class int) {
	s.scheduleArrival(class)
	c := &s.scenario.Classes[class]
	s.seq++
	k := &clientRequest{class: class, startedAt: s.now, retriesLeft: s.scenario.Clients.Retries, work: time.Duration(float64(c.Work) * c.Spread.Draw(s.rng))}
	if c.Idempotency == policy.IdempotentByKey {
		k.idempotencyKey = strconv.FormatUint(s.seq, 36)
	}
	t := &s.result.Classes[k.class]
	t.Requests++
	t.RequestedWeight += c.PriorityWeight
	s.weightBySecond[k.startedAt/time.Second].wanted += c.PriorityWeight
	s.post(event{at: s.now, kind: evTry, client: k})
}

// sendEndpointList tells all nodes of the list of servers as it is.
func (s *simulation) sendEndpointList() {
	entries := s.endpointList()
	for _, m := range s.servers {
		if m.state == policy.Draining && m.drainAnnouncedAt == 0 {
			m.drainAnnouncedAt = s.now
		}
	}
	for _, n := range s.nodes {
		if !n.down {
			n.callDecider(func() { n.decider.UpdateEndpoints(s.now, policy.FullUpdate, entries) })
		}
	}
}
