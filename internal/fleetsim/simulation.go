package fleetsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"yokestall/internal/fleet/ownership"
	"yokestall/policy"
)

// drainPeriod is the time for which the simulation continues after Scenario.Length, in addition to the longest time that
// clients may need for their retries.
const drainPeriod = time.Minute

// simulation is the state of one run.
type simulation struct {
	scenario       *Scenario
	seed           uint64
	newDecider     DeciderFactory
	rng            *rand.Rand
	now            time.Duration
	lastSeq        uint64
	queue          eventQueue
	nodes          []*node
	servers        []*fleetServer
	lastEndpointID policy.EndpointID
	leases         *ownership.Allocator // nil if there are no leases
	result         *Result
	weightBySecond []weight // indexed by the second in which the client sent its first try
}

// weight is the sum of the priority weights of requests, and the part of that sum that was earned by answers.
type weight struct{ earned, requested float64 }

// Play simulates a scenario. It fails only if newDecider fails.
func Play(scenario *Scenario, seed uint64, newDecider DeciderFactory) (*Result, error) {
	s := &simulation{
		scenario:       scenario,
		seed:           seed,
		newDecider:     newDecider,
		rng:            rand.New(rand.NewPCG(seed, 7)),
		result:         newResult(scenario),
		weightBySecond: make([]weight, int(scenario.Length/time.Second)+1),
	}
	for range scenario.Servers {
		s.addServer()
	}
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	for class := range scenario.Classes {
		s.scheduleArrival(class)
	}
	if scenario.LeaseReleaseDuration > 0 {
		s.leases = ownership.NewAllocator(1, s.leaseConfig())
	}
	for i := range scenario.Faults {
		f := &scenario.Faults[i]
		s.schedule(f.From, func() { s.beginFault(f) })
		s.schedule(f.To, func() { s.endFault(f) })
	}
	s.run()
	s.finish()
	return s.result, nil
}

func (s *simulation) startNodes() error {
	settings := s.scenario.Settings
	settings.NodeCount, settings.Classes = s.scenario.Nodes, nil
	for _, c := range s.scenario.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	for i := range s.scenario.Nodes {
		settings.NodeIndex = i
		n := &node{simulation: s, settings: settings}
		if err := n.start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// run runs events until no event is left or the end time is reached. The end time is needed because deciders may set
// timers indefinitely.
func (s *simulation) run() {
	longest := time.Duration(0)
	for _, c := range s.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	clients := &s.scenario.Clients
	end := s.scenario.Length + time.Duration(clients.Retries+1)*(longest+clients.Backoff) + drainPeriod
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now > end {
			return
		}
		s.result.Events++
		e.run()
	}
}

// finish computes the results that depend on the complete run.
func (s *simulation) finish() {
	total, most := int64(0), int64(0)
	for _, m := range s.servers {
		total, most = total+m.attempts, max(most, m.attempts)
	}
	s.result.MaxServerShare = float64(most) * float64(len(s.servers)) / float64(max(1, total))
	for _, w := range s.weightBySecond {
		share := 1.0
		if w.requested > 0 {
			share = w.earned / w.requested
		}
		s.result.ServiceBySecond = append(s.result.ServiceBySecond, share)
	}
}
