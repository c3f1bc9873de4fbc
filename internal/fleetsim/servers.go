package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// drainGrace is how long after word of a drain a node may still send to the server.
const drainGrace = 500 * time.Millisecond

// fleetServer is a server's place in the fleet.
type fleetServer struct {
	*model.Server
	id               policy.EndpointID
	nextCompletion   time.Duration // when an evDone is due; -1
	drainAnnouncedAt time.Duration // word of its drain; 0: none
	state            policy.EndpointState
	startedAt        time.Duration // its start, as the list says it; 0: long past
	attempts         int64
	workInTransit    time.Duration     // work sent that has not reached it
	jobs             map[uint64]*event // by job
	lastJobID        uint64
	buffersReplies   bool
	bufferedReplies  []*event // answers that wait for the end of a trouble
}

// endpointList is the servers as the nodes are told of them.
func (s *simulation) endpointList() (entries []policy.Endpoint) {
	for _, m := range s.servers {
		if m.state != policy.Removed {
			entries = append(entries, policy.Endpoint{ID: m.id, State: m.state, Weight: 1, StartedAt: m.startedAt})
		}
	}
	return entries
}

// arriveAtServer has an attempt come to its server.
func (s *simulation) arriveAtServer(e *event) {
	m := s.servers[e.server]
	m.workInTransit -= e.try.client.work
	if policy.EndpointID(e.token) != m.id { // replaced meanwhile
		s.sendReply(e, policy.ConnectFailed)
		return
	}
	k := e.try.client
	m.lastJobID++
	j := model.Job{ID: m.lastJobID, Work: k.work, Key: k.idempotencyKey}
	fate, lost := m.Arrive(s.now, j, s.rng)
	switch fate {
	case model.Taken:
		kept := *e
		m.jobs[j.ID] = &kept
	case model.Full:
		s.sendReply(e, policy.Rejected)
	case model.Failed:
		s.sendReply(e, policy.ErrorResponse)
	case model.Dropped:
		s.sendReply(e, policy.OK)
	case model.NoOne:
		s.sendReply(e, policy.ConnectFailed)
	case model.Fell:
		s.result.OverloadedServers++
		s.resetConnections(m, lost)
		s.sendReply(e, policy.Reset)
	}
	s.scheduleCompletion(e.server)
}

// resetConnections breaks the connections of jobs.
func (s *simulation) resetConnections(m *fleetServer, lost []model.Job) {
	for _, e := range m.bufferedReplies {
		s.sendReply(e, policy.Reset)
	}
	m.bufferedReplies = nil
	for _, j := range lost {
		if e := m.jobs[j.ID]; e != nil {
			delete(m.jobs, j.ID)
			s.sendReply(e, policy.Reset)
		}
	}
}

// sendReply sends an attempt's outcome back to its node.
func (s *simulation) sendReply(e *event, status policy.Status) {
	s.post(event{at: s.now + s.delay(), kind: evReply, node: e.node, try: e.try, index: e.index, status: status})
}

// scheduleCompletion has the end of a server's next job come up.
func (s *simulation) scheduleCompletion(server int) {
	m := s.servers[server]
	if at, ok := m.Next(); ok && (m.nextCompletion < 0 || at < m.nextCompletion) {
		m.nextCompletion = at
		s.post(event{at: at, kind: evDone, server: server})
	}
}

// completeJobs takes from a server the jobs that have ended.
func (s *simulation) completeJobs(server int) {
	m := s.servers[server]
	m.nextCompletion = -1
	for {
		j, ok := m.Pop(s.now)
		if !ok {
			break
		}
		e := m.jobs[j.ID]
		delete(m.jobs, j.ID)
		if e == nil {
			continue
		}
		k := e.try.client
		if k.effects++; k.effects == 2 && s.scenario.Classes[k.class].Idempotency == policy.NotIdempotent {
			s.result.DuplicateEffects++
		}
		switch {
		case m.buffersReplies:
			m.bufferedReplies = append(m.bufferedReplies, e)
		case !m.Trouble.Silent:
			s.sendReply(e, policy.OK)
		}
	}
	s.scheduleCompletion(server)
}

// applyFault begins or ends a applyFault.
func (s *simulation) applyFault(t *Fault, over bool) {
	if t.Nodes {
		for _, n := range s.nodes[t.First : t.Last+1] {
			if !over {
				n.kill()
				continue
			}
			n.start() // it was made of the same settings before
			if t.RestoreSnapshot {
				n.restoreSnapshot()
			}
		}
		return
	}
	for i := t.First; i <= t.Last; i++ {
		m := s.servers[i]
		switch {
		case t.Down && !over:
			s.resetConnections(m, m.Down())
		case t.Down:
			s.restartServer(m, t)
		case t.Drain && !over:
			m.state = policy.Draining
		case t.Drain: // another one in its place, cold
			s.resetConnections(m, m.Down())
			s.lastEndpointID++
			m.id, m.state, m.drainAnnouncedAt = s.lastEndpointID, policy.Ready, 0
			s.restartServer(m, t)
		case t.BufferReplies && !over:
			m.buffersReplies = true
		case t.BufferReplies:
			for _, e := range m.bufferedReplies {
				s.sendReply(e, policy.OK)
			}
			m.buffersReplies, m.bufferedReplies = false, nil
		case over:
			m.Trouble = model.Trouble{}
		default:
			m.Trouble = t.Impairment
		}
	}
	s.post(event{at: s.now + s.scenario.ListDelay, kind: evNews})
}

// restartServer has a server start, cold, perhaps as a smaller one.
func (s *simulation) restartServer(m *fleetServer, t *Fault) {
	if t.RestartSpeed > 0 { // another machine
		kind := s.scenario.ServerKind
		kind.Speed *= t.RestartSpeed
		m.Server = model.NewServer(&kind)
		s.lastEndpointID++
		m.id = s.lastEndpointID
	}
	m.Start(s.now)
	m.startedAt = s.now
}
