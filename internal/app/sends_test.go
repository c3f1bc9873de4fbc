package app

import (
	"slices"
	"sync"
	"time"
)

// spans has, for each server, the times in which a version in force had it.
type spans struct {
	mu      sync.Mutex
	list    map[string][]span
	inForce map[string]bool
}

type span struct{ from, to time.Time }

// taken notes a version: its servers may be used from before on, and those that it lacks
// count as told to be gone at told.
func (s *spans) taken(servers []string, before, told time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = map[string][]span{}
	}
	has := map[string]bool{}
	for _, id := range servers {
		if has[id] = true; !s.inForce[id] {
			s.list[id] = append(s.list[id], span{from: before})
		}
	}
	for id := range s.inForce {
		if !has[id] {
			s.list[id][len(s.list[id])-1].to = told
		}
	}
	s.inForce = has
}

// sends is a log of what went out, for Options.OnSend.
type sends struct {
	mu    sync.Mutex
	names map[uint64]string
	list  []sendOf
}

type sendOf struct {
	server string
	at     time.Time
}

func (s *sends) note(_ string, server uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, sendOf{s.names[server], at})
}

// strays counts the sends to servers that no version had at their time, or within grace
// before. A send counts from when it left: on a busy machine a box may see it much later.
func (s *sends) strays(v *spans, grace time.Duration) (n int) {
	for _, x := range s.list {
		if !slices.ContainsFunc(v.list[x.server], func(sp span) bool {
			return !x.at.Before(sp.from) && (sp.to.IsZero() || x.at.Before(sp.to.Add(grace)))
		}) {
			n++
		}
	}
	return n
}
