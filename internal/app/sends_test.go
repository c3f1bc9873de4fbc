package app

import (
	"slices"
	"sync"
	"time"
)

// removalGrace is how long after its removal an endpoint may still get requests.
const removalGrace = 500 * time.Millisecond

// memberships has, for each server, the times in which a version in force had it.
type memberships struct {
	mu       sync.Mutex
	byServer map[string][]membership
	inForce  map[string]bool
}

// membership is a time in which versions had a server; end is zero while it lasts.
type membership struct{ start, end time.Time }

// apply notes a version. Its servers may get requests from start on; those that it lacks are removed at end.
func (m *memberships) apply(servers []string, start, end time.Time) {
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

// allow reports whether a version had a server at a time, or within a grace before.
func (m *memberships) allow(server string, at time.Time, grace time.Duration) bool {
	return slices.ContainsFunc(m.byServer[server], func(x membership) bool {
		return !at.Before(x.start) && (x.end.IsZero() || at.Before(x.end.Add(grace)))
	})
}

// sendLog is a log of the requests that were sent, for Options.OnSend.
type sendLog struct {
	mu    sync.Mutex
	names map[uint64]string // of servers, by their keys
	list  []send
}

type send struct {
	server string
	at     time.Time
}

// note adds a request.
func (l *sendLog) note(_ string, server uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, send{l.names[server], at})
}

// astray counts the requests to servers that no version had at their time, or within a grace before. The time is that
// of the send: on a busy machine a box may see it much later.
func (l *sendLog) astray(m *memberships, grace time.Duration) (n int) {
	for _, x := range l.list {
		if !m.allow(x.server, x.at, grace) {
			n++
		}
	}
	return n
}
