package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// noCompletion is the time of a completion that is not scheduled.
const noCompletion = -1

// fleetServer is a server's place in the fleet.
type fleetServer struct {
	*model.Server
	id               policy.EndpointID
	state            policy.EndpointState
	startedAt        time.Duration // as in the endpoint list; 0: before the simulation
	drainAnnouncedAt time.Duration // when the nodes got its drain in their lists; 0: they have not
	nextCompletion   time.Duration // when its next completion is scheduled, or noCompletion
	attempts         int64
	workInTransit    time.Duration // of attempts that have not arrived
	jobs             map[uint64]*delivery
	lastJobID        uint64
	buffersReplies   bool
	bufferedReplies  []*delivery
}

// delivery is an attempt on its way to a server, in work there, or with a reply that is buffered.
type delivery struct {
	request  *nodeRequest
	attempt  int
	server   *fleetServer
	endpoint policy.EndpointID // that the node sent to
}

func (s *simulation) addServer() {
	s.lastEndpointID++
	s.servers = append(s.servers, &fleetServer{
		Server:         model.NewServer(&s.scenario.ServerKind),
		id:             s.lastEndpointID,
		state:          policy.Ready,
		nextCompletion: noCompletion,
		jobs:           map[uint64]*delivery{},
	})
}

// serverIndex returns the index of the server with an ID, or -1.
func (s *simulation) serverIndex(id policy.EndpointID) int {
	for i, m := range s.servers {
		if m.id == id {
			return i
		}
	}
	return -1
}

// endpointList returns the servers as nodes get them.
func (s *simulation) endpointList() (entries []policy.Endpoint) {
	for _, m := range s.servers {
		if m.state != policy.Removed {
			entries = append(entries, policy.Endpoint{ID: m.id, State: m.state, Weight: 1, StartedAt: m.startedAt})
		}
	}
	return entries
}

// arriveAtServer handles an attempt at its server.
func (s *simulation) arriveAtServer(d *delivery) {
	m, client := d.server, d.request.client
	m.workInTransit -= client.work
	if d.endpoint != m.id { // replaced meanwhile
		s.sendReply(d, policy.ConnectFailed)
		return
	}
	m.lastJobID++
	job := model.Job{ID: m.lastJobID, Work: client.work, Key: client.idempotencyKey}
	fate, lost := m.Arrive(s.now, job, s.rng)
	switch fate {
	case model.Accepted:
		m.jobs[job.ID] = d
	case model.Rejected:
		s.sendReply(d, policy.Rejected)
	case model.Failed:
		s.sendReply(d, policy.ErrorResponse)
	case model.Duplicate:
		s.sendReply(d, policy.OK)
	case model.Unreachable:
		s.sendReply(d, policy.ConnectFailed)
	case model.Overloaded:
		s.result.OverloadedServers++
		s.resetConnections(m, lost)
		s.sendReply(d, policy.Reset)
	}
	s.scheduleCompletion(m)
}

// resetConnections resets the connections of buffered replies and of jobs that a server lost.
func (s *simulation) resetConnections(m *fleetServer, lost []model.Job) {
	for _, d := range m.bufferedReplies {
		s.sendReply(d, policy.Reset)
	}
	m.bufferedReplies = nil
	for _, job := range lost {
		if d := m.jobs[job.ID]; d != nil {
			delete(m.jobs, job.ID)
			s.sendReply(d, policy.Reset)
		}
	}
}

// sendReply sends the outcome of an attempt to its node.
func (s *simulation) sendReply(d *delivery, status policy.Status) {
	r, index := d.request, d.attempt
	s.schedule(s.now+s.networkDelay(), func() { r.node.reportOutcome(r, index, status) })
}

// scheduleCompletion schedules the end of a server's next job, unless an earlier completion is scheduled.
func (s *simulation) scheduleCompletion(m *fleetServer) {
	at, ok := m.NextCompletion()
	if ok && (m.nextCompletion == noCompletion || at < m.nextCompletion) {
		m.nextCompletion = at
		s.schedule(at, func() { s.completeJobs(m) })
	}
}

// completeJobs takes the jobs that have ended from a server, and sends or buffers their replies.
func (s *simulation) completeJobs(m *fleetServer) {
	m.nextCompletion = noCompletion
	for {
		job, ok := m.PopCompleted(s.now)
		if !ok {
			break
		}
		d := m.jobs[job.ID]
		delete(m.jobs, job.ID)
		if d == nil {
			continue
		}
		s.countEffect(d.request.client)
		switch {
		case m.buffersReplies:
			m.bufferedReplies = append(m.bufferedReplies, d)
		case !m.Fault.Unresponsive:
			s.sendReply(d, policy.OK)
		}
	}
	s.scheduleCompletion(m)
}

func (s *simulation) countEffect(r *clientRequest) {
	r.effects++
	if r.effects == 2 && s.scenario.Classes[r.class].Idempotency == policy.NotIdempotent {
		s.result.DuplicateEffects++
	}
}

// restartServer starts a server, which warms up. speed is its share of its kind's; 0: its kind
// and ID stay as they are.
func (s *simulation) restartServer(m *fleetServer, speed float64) {
	if speed > 0 {
		kind := s.scenario.ServerKind
		kind.Speed *= speed
		m.Server = model.NewServer(&kind)
		s.lastEndpointID++
		m.id = s.lastEndpointID
	}
	m.Start(s.now)
	m.startedAt = s.now
}
