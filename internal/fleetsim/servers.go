package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// drainRule is how long after word of a drain a node may still send to the server.
const drainRule = 500 * time.Millisecond

// member is a server's place in the fleet.
type member struct {
	*model.Server
	id     policy.EndpointID
	next   time.Duration // when an evDone is due; -1
	told   time.Duration // word of its drain; 0: none
	state  policy.EndpointState
	since  time.Duration // its start, as the list says it; 0: long past
	sent   int64
	coming time.Duration     // work sent that has not reached it
	job    map[uint64]*event // by job
	jobSeq uint64
	holds  bool
	held   []*event // answers that wait for the end of a trouble
}

// list is the servers as the nodes are told of them.
func (s *sim) list() (entries []policy.Endpoint) {
	for _, m := range s.members {
		if m.state != policy.Removed {
			entries = append(entries, policy.Endpoint{ID: m.id, State: m.state, Weight: 1, StartedAt: m.since})
		}
	}
	return entries
}

// reach has an attempt come to its server.
func (s *sim) reach(e *event) {
	m := s.members[e.server]
	m.coming -= e.try.call.work
	if policy.EndpointID(e.token) != m.id { // replaced meanwhile
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
		s.reply(e, policy.Rejected)
	case model.Failed:
		s.reply(e, policy.ErrorResponse)
	case model.Dropped:
		s.reply(e, policy.OK)
	case model.NoOne:
		s.reply(e, policy.ConnectFailed)
	case model.Fell:
		s.result.OverloadedServers++
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

// reply sends an attempt's outcome back to its node.
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

// done takes from a server the jobs that have ended.
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
		if k.effects++; k.effects == 2 && s.day.Classes[k.class].Idempotency == policy.NotIdempotent {
			s.result.DuplicateEffects++
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

// trouble begins or ends a trouble.
func (s *sim) trouble(t *Fault, over bool) {
	if t.Nodes {
		for _, n := range s.nodes[t.First : t.Last+1] {
			if !over {
				n.die()
				continue
			}
			n.start() // it was made of the same settings before
			if t.RestoreSnapshot {
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
		case t.BufferReplies && !over:
			m.holds = true
		case t.BufferReplies:
			for _, e := range m.held {
				s.reply(e, policy.OK)
			}
			m.holds, m.held = false, nil
		case over:
			m.Trouble = model.Trouble{}
		default:
			m.Trouble = t.Impairment
		}
	}
	s.post(event{at: s.now + s.day.ListDelay, kind: evNews})
}

// back has a server start, cold, perhaps as a smaller one.
func (s *sim) back(m *member, t *Fault) {
	if t.RestartSpeed > 0 { // another machine
		kind := s.day.ServerKind
		kind.Speed *= t.RestartSpeed
		m.Server = model.NewServer(&kind)
		s.lastID++
		m.id = s.lastID
	}
	m.Start(s.now)
	m.since = s.now
}
