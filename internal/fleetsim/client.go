package fleetsim

import (
	"strconv"
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// clientRequest is the request of a client, including its retries by the client.
type clientRequest struct {
	class          int
	startedAt      time.Duration
	work           time.Duration
	idempotencyKey string
	retriesLeft    int
	effects        int // number of times that servers completed the request
	finished       bool
}

// scheduleArrival schedules the arrival of the next request of a class.
func (s *simulation) scheduleArrival(class int) {
	rate := s.scenario.Classes[class].Rate
	at, ok := model.NextArrival(s.now, s.scenario.Length, rate, s.scenario.Load, s.rng)
	if ok {
		s.schedule(at, func() { s.handleArrival(class) })
	}
}

// handleArrival starts a request of a client and schedules the next arrival of the class.
func (s *simulation) handleArrival(class int) {
	s.scheduleArrival(class)
	c := &s.scenario.Classes[class]
	id := s.nextSeq()
	r := &clientRequest{
		class:       class,
		startedAt:   s.now,
		retriesLeft: s.scenario.Clients.Retries,
		work:        time.Duration(float64(c.Work) * c.Spread.Draw(s.rng)),
	}
	if c.Idempotency == policy.IdempotentByKey {
		r.idempotencyKey = strconv.FormatUint(id, 36)
	}
	counts := &s.result.Classes[class]
	counts.Requests++
	counts.RequestedWeight += c.PriorityWeight
	s.weightBySecond[r.startedAt/time.Second].requested += c.PriorityWeight
	s.schedule(s.now, func() { s.sendToNode(r) })
}

// sendToNode sends the request of a client, or a retry, to a node that is up.
func (s *simulation) sendToNode(r *clientRequest) {
	if n := s.pickNode(); n != nil {
		n.receive(r)
	} else {
		s.connectionLost(r)
	}
}

// pickNode returns the node to which a client connects, or nil if no node is up.
func (s *simulation) pickNode() *node {
	if share := s.scenario.FirstNodeShare; share > 0 && s.rng.Float64() < share && !s.nodes[0].down {
		return s.nodes[0]
	}
	first := s.rng.IntN(len(s.nodes))
	for i := range s.nodes {
		if n := s.nodes[(first+i)%len(s.nodes)]; !n.down {
			return n
		}
	}
	return nil
}

// connectionLost handles a try of a client that ended without an answer. The client retries only if its retries are not
// exhausted and the class is idempotent, because the request may have been executed.
func (s *simulation) connectionLost(r *clientRequest) {
	if r.finished {
		return
	}
	if r.retriesLeft > 0 && s.scenario.Classes[r.class].Idempotency != policy.NotIdempotent {
		s.scheduleRetry(r, 0)
		return
	}
	r.finished = true
	s.result.Classes[r.class].Failed++
}

// scheduleRetry schedules the next try of a client, after its backoff or, if the client honors it, after retryAfter.
func (s *simulation) scheduleRetry(r *clientRequest, retryAfter time.Duration) {
	c := &s.scenario.Clients
	r.retriesLeft--
	wait := c.Backoff
	if s.rng.Float64() < c.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	at := s.now + wait
	if c.AlignTo > 0 {
		at = (at + c.AlignTo - 1).Truncate(c.AlignTo)
	}
	s.schedule(at+s.networkDelay(), func() { s.sendToNode(r) })
}
