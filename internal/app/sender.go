package app

import (
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// sender has an attempt carried by whoever can: the cluster's connections, or the payload itself
// where another program sends it (extproc's picks).
type sender struct {
	pool upstream

	mu        sync.RWMutex
	addresses map[policy.EndpointID]string
}

// carrier is a payload that sees to its attempts itself.
type carrier interface {
	Carry(call *engine.Call, address string, left time.Duration) engine.Result
}

// Exchange implements engine.Exchanger.
func (s *sender) Exchange(call *engine.Call, id policy.EndpointID, payload any, left time.Duration) engine.Result {
	c, ok := payload.(carrier)
	if !ok {
		return s.pool.Exchange(call, id, payload, left)
	}
	s.mu.RLock()
	address, known := s.addresses[id]
	s.mu.RUnlock()
	if !known { // gone meanwhile
		return engine.Result{Status: policy.NeverSent}
	}
	return c.Carry(call, address, left)
}

// update takes news of the servers.
func (s *sender) update(servers []h1client.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range servers {
		if in.Removed {
			delete(s.addresses, in.ID)
		} else {
			s.addresses[in.ID] = in.Address
		}
	}
}
