package fleetsim

import (
	"yokestall/internal/model"
	"yokestall/policy"
)

func (s *simulation) beginFault(f *Fault) {
	if f.Nodes {
		for _, n := range s.nodes[f.First : f.Last+1] {
			n.kill()
		}
		return
	}
	for _, m := range s.servers[f.First : f.Last+1] {
		switch {
		case f.Down:
			s.resetConnections(m, m.Stop())
		case f.Drain:
			m.state = policy.Draining
		case f.BufferReplies:
			m.buffersReplies = true
		default:
			m.Fault = f.Impairment
		}
	}
	s.scheduleEndpointList()
}

func (s *simulation) endFault(f *Fault) {
	if f.Nodes {
		for _, n := range s.nodes[f.First : f.Last+1] {
			n.start() // cannot fail: the node has started with the same settings before
			if f.RestoreSnapshot {
				n.restoreSnapshot()
			}
		}
		return
	}
	for _, m := range s.servers[f.First : f.Last+1] {
		switch {
		case f.Down:
			s.restartServer(m, f.RestartSpeed)
		case f.Drain:
			s.replaceServer(m, f.RestartSpeed)
		case f.BufferReplies:
			s.sendBufferedReplies(m)
		default:
			m.Fault = model.Fault{}
		}
	}
	s.scheduleEndpointList()
}

// replaceServer replaces a server that has drained by a new server, which starts now.
func (s *simulation) replaceServer(m *fleetServer, speed float64) {
	s.resetConnections(m, m.Stop())
	s.lastEndpointID++
	m.id, m.state, m.drainAnnouncedAt = s.lastEndpointID, policy.Ready, 0
	s.restartServer(m, speed)
}

func (s *simulation) sendBufferedReplies(m *fleetServer) {
	for _, d := range m.bufferedReplies {
		s.sendReply(d, policy.OK)
	}
	m.buffersReplies, m.bufferedReplies = false, nil
}

func (s *simulation) scheduleEndpointList() {
	s.schedule(s.now+s.scenario.ListDelay, s.sendEndpointList)
}
