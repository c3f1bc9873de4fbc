package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// noCompletion is the value of fleetServer.nextCompletion if no completion is scheduled.
const noCompletion = -1

// fleetServer is a modelled server together with its endpoint and its jobs in the fleet.
type fleetServer struct {
	*model.Server
	id               policy.EndpointID
	state            policy.EndpointState
	startedAt        time.Duration // start time in the endpoint list; 0 if the server started before the simulation
	drainAnnouncedAt time.Duration // time at which the endpoint list announced the drain; 0 if it did not
	nextCompletion   time.Duration // time of the next scheduled completion, or noCompletion
	attempts         int64
	workInTransit    time.Duration // work of attempts that have not arrived yet
	jobs             map[uint64]*delivery
	lastJobID        uint64
	buffersReplies   bool
	bufferedReplies  []*delivery
}

// delivery is an attempt that is in transit to a server, is being processed there or has a buffered reply.
type delivery struct {
	request  *nodeRequest
	attempt  int
	server   *fleetServer
	endpoint policy.EndpointID // endpoint to which the node sent the attempt
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

// serverIndex returns the index of the server with the given endpoint ID, or -1 if there is none.
func (s *simulation) serverIndex(id policy.EndpointID) int {
	for i, m := range s.servers {
		if m.id == id {
			return i
		}
	}
	return -1
}

// endpointList returns the endpoint list that nodes receive.
func (s *simulation) endpointList() (entries []policy.Endpoint) {
	for _, m := range s.servers {
		if m.state != policy.Removed {
			entries = append(entries, policy.Endpoint{ID: m.id, State: m.state, Weight: 1, StartedAt: m.startedAt})
		}
	}
	return entries
}

// arriveAtServer handles the arrival of an attempt at its server.
func (s *simulation) arriveAtServer(d *delivery) {
	m, client := d.server, d.request.client
	m.workInTransit -= client.work
	if d.endpoint != m.id { // the server was replaced while the attempt was in transit
		s.sendReply(d, policy.ConnectFailed)
		return
	}
	m.lastJobID++
	job := model.Job{ID: m.lastJobID, Work: client.work, Key: client.idempotencyKey}
	outcome, lost := m.Arrive(s.now, job, s.rng)
	switch outcome {
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

// resetConnections resets the connections of all buffered replies and of the lost jobs of a server.
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

// scheduleCompletion schedules the next completion of a job at a server, unless an earlier completion is scheduled.
func (s *simulation) scheduleCompletion(m *fleetServer) {
	at, ok := m.NextCompletion()
	if ok && (m.nextCompletion == noCompletion || at < m.nextCompletion) {
		m.nextCompletion = at
		s.schedule(at, func() { s.completeJobs(m) })
	}
}

// completeJobs removes the completed jobs from a server and sends or buffers their replies.
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

// restartServer starts a server, which then warms up. speed is the new speed as a share of that of
// Scenario.ServerKind; the server then gets a new endpoint ID. With speed 0, speed and ID stay as they are.
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
