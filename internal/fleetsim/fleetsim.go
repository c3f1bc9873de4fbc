// Package fleetsim plays a day of a fleet in virtual time: nodes that decide, each with a real
// policy.Balancer or a peer to compare with, servers by internal/model, clients with their own
// retries. The same day with the same seed gives the same result, byte by byte.
package fleetsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/fleet/ownership"
	"yokestall/internal/model"
	"yokestall/policy"
)

// Decider decides for one node; *policy.Balancer is one.
type Decider interface {
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	Timer(now time.Duration, token uint64)
	UpdateEndpoints(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
}

// DeciderFactory makes a node's.
type DeciderFactory func(set policy.Settings, seed uint64, host policy.Host) (Decider, error)

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
	Retries         int           // of their own
	Backoff         time.Duration // before each; a longer Retry-After is heeded by Honest of them
	HonorRetryAfter float64       // share
	AlignTo         time.Duration // tries again at whole multiples of it; 0: at any time
}

// Fault is what befalls some servers.
type Fault struct {
	From, To    time.Duration
	First, Last int // servers
	Down        bool
	Drain       bool // they drain, and are replaced by cold ones at To
	Nodes       bool // First to Last are nodes, which are dead, and start anew at To, knowing nothing
	// RestoreSnapshot has these nodes start with what they knew when they died.
	RestoreSnapshot bool
	// RestartSpeed is the share of its kind's speed that a server has which comes back from Down or Drain; 0: all of it.
	RestartSpeed float64
	// BufferReplies has servers work on, and their answers go out all at once at To.
	BufferReplies bool
	Impairment    model.Trouble
}

// Scenario is what is played.
type Scenario struct {
	Length         time.Duration
	Nodes          int
	Servers        int
	ServerKind     model.Kind
	Settings       policy.Settings // Nodes and Node are filled in
	Classes        []Class
	Load           model.Curve
	Clients        Clients
	Faults         []Fault
	NetworkDelay   time.Duration // of the network, one way; drawn up to half as long again
	ListDelay      time.Duration // after which a change of the list is told
	FirstNodeShare float64       // share of the requests that goes to node 0; 0: as to each
	// LeaseReleaseDuration is how long a node does without what it lends of cold servers' budgets; 0: nodes lend nothing, and
	// their shares are equal.
	LeaseReleaseDuration time.Duration
}

// simulation is a day while it is played.
type simulation struct {
	scenario       *Scenario
	rng            *rand.Rand
	now            time.Duration
	seq            uint64
	queue          eventQueue
	nodes          []*node
	servers        []*fleetServer
	lastEndpointID policy.EndpointID
	result         *Result
	weightBySecond []struct{ earned, wanted float64 }
	newDecider     DeciderFactory
	seed           uint64
	allocator      *ownership.Allocator
}

// node hosts a Decider.
type node struct {
	*simulation
	decider       Decider
	requests      map[policy.RequestID]*nodeRequest
	lastRequestID policy.RequestID
	deferred      []func() // what host calls leave to be told
	down          bool
	settings      policy.Settings
	incarnation   uint64
	snapshot      *policy.Snapshot // when it died,
	stoppedAt     time.Duration    // at that time
	leaseClient
}

// Play plays a day.
func Play(day *Scenario, seed uint64, with DeciderFactory) (*Result, error) {
	s := &simulation{scenario: day, rng: rand.New(rand.NewPCG(seed, 7)), result: &Result{}, newDecider: with, seed: seed}
	s.result.WeightByTenth = make([]float64, int(day.Length/tenth)+1)
	s.weightBySecond = make([]struct{ earned, wanted float64 }, int(day.Length/time.Second)+1)
	for range day.Classes {
		s.result.Classes = append(s.result.Classes, ClassResult{Latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	for range day.Servers {
		s.lastEndpointID++
		s.servers = append(s.servers, &fleetServer{Server: model.NewServer(&day.ServerKind), id: s.lastEndpointID, nextCompletion: -1, state: policy.Ready, jobs: map[uint64]*event{}})
	}
	set := day.Settings
	set.NodeCount, set.Classes = day.Nodes, nil
	for _, c := range day.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for i := range day.Nodes {
		set.NodeIndex = i
		n := &node{simulation: s, settings: set}
		if err := n.start(); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	for class := range day.Classes {
		s.scheduleArrival(class)
	}
	if day.LeaseReleaseDuration > 0 {
		s.allocator = ownership.NewAllocator(1, s.leaseConfig())
	}
	for i := range day.Faults {
		s.post(event{at: day.Faults[i].From, kind: evTrouble, index: i})
		s.post(event{at: day.Faults[i].To, kind: evTrouble, index: i, token: 1})
	}
	longest := time.Duration(0)
	for _, c := range day.Classes {
		longest = max(longest, c.Deadline)
	}
	end := day.Length + time.Duration(day.Clients.Retries+1)*(longest+day.Clients.Backoff) + time.Minute
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

// finish adds up what is known only at the end of the day.
func (s *simulation) finish() {
	total, most := int64(0), int64(0)
	for _, m := range s.servers {
		total, most = total+m.attempts, max(most, m.attempts)
	}
	s.result.MaxServerShare = float64(most) * float64(len(s.servers)) / float64(max(1, total))
	for _, sec := range s.weightBySecond {
		share := 1.0
		if sec.wanted > 0 {
			share = sec.earned / sec.wanted
		}
		s.result.ServiceBySecond = append(s.result.ServiceBySecond, share)
	}
}
