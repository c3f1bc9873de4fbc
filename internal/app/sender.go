package app

import (
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// sender sends a tier's attempts. It uses the tier's upstream pool, or the payload's own SendAttempt method if another
// program sends the request (external processing).
type sender struct {
	pool upstreamPool

	mu        sync.RWMutex // guards addresses
	addresses map[policy.EndpointID]string
}

// sendingPayload is a request payload that sends its attempts itself.
type sendingPayload interface {
	SendAttempt(call *engine.Call, address string, timeRemaining time.Duration) engine.Result
}

// Exchange implements engine.Exchanger.
func (s *sender) Exchange(
	call *engine.Call, id policy.EndpointID, payload any, timeRemaining time.Duration,
) engine.Result {
	p, ok := payload.(sendingPayload)
	if !ok {
		return s.pool.Exchange(call, id, payload, timeRemaining)
	}
	s.mu.RLock()
	address, known := s.addresses[id]
	s.mu.RUnlock()
	if !known { // the endpoint was removed after the policy chose it
		return engine.Result{Status: policy.NeverSent}
	}
	return p.SendAttempt(call, address, timeRemaining)
}

// update applies changed and removed endpoints to the addresses.
func (s *sender) update(endpoints []h1client.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		if endpoint.Removed {
			delete(s.addresses, endpoint.ID)
		} else {
			s.addresses[endpoint.ID] = endpoint.Address
		}
	}
}
