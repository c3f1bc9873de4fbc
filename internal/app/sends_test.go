package app

import (
	"slices"
	"sync"
	"time"
)

// removalGrace is the time after the removal of an endpoint in which requests may still be sent to it.
const removalGrace = 500 * time.Millisecond

// memberships records for each server the periods in which a version in force contained it.
type memberships struct {
	mu       sync.Mutex
	byServer map[string][]membership
	inForce  map[string]bool
}

// membership is a period in which the versions in force contained a server. end is zero while the period lasts.
type membership struct{ start, end time.Time }

// update records a new version in force. Its servers may get requests from start on. Servers of the previous version that
// it lacks count as removed at end.
func (m *memberships) update(servers []string, start, end time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byServer == nil {
		m.byServer = map[string][]membership{}
	}
	next := map[string]bool{}
	for _, id := range servers {
		if next[id] = true; !m.inForce[id] {
			m.byServer[id] = append(m.byServer[id], membership{start: start})
		}
	}
	for id := range m.inForce {
		if !next[id] {
			m.byServer[id][len(m.byServer[id])-1].end = end
		}
	}
	m.inForce = next
}

// contains reports whether a version in force contained a server at a time, or at most grace before it.
func (m *memberships) contains(server string, at time.Time, grace time.Duration) bool {
	return slices.ContainsFunc(m.byServer[server], func(x membership) bool {
		return !at.Before(x.start) && (x.end.IsZero() || at.Before(x.end.Add(grace)))
	})
}

// sendLog records the attempts that were sent. Its method record is used as Options.OnSend.
type sendLog struct {
	mu    sync.Mutex
	names map[uint64]string // names of the servers, by cluster.Endpoint.Key
	list  []send
}

type send struct {
	server string
	at     time.Time
}

// record adds an attempt that was sent.
func (l *sendLog) record(_ string, server uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, send{l.names[server], at})
}

// countMisrouted returns the number of attempts to servers that no version in force contained at the time of the send, or
// at most grace before it. It uses the time of the send, since on a busy machine a box may see the request much later.
func (l *sendLog) countMisrouted(m *memberships, grace time.Duration) (n int) {
	for _, x := range l.list {
		if !m.contains(x.server, x.at, grace) {
			n++
		}
	}
	return n
}
