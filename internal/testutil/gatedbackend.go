package testutil

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// GatedBackend is a server that answers no request while its gate is closed. It is for tests in which clients disconnect before
// their requests are answered. It records the times at which requests arrive and clients disconnect, by X-Request-Id.
type GatedBackend struct {
	*Backend
	mu           sync.Mutex
	gate         chan struct{}        // closed while the gate is open
	arrived      map[string]time.Time // times at which requests arrived, by X-Request-Id
	disconnected map[string]time.Time // times at which clients had disconnected, by the X-Request-Id of their requests
}

// NewGatedBackend starts a server whose gate is closed.
func NewGatedBackend(t testing.TB) *GatedBackend {
	b := &GatedBackend{
		gate: make(chan struct{}), arrived: map[string]time.Time{}, disconnected: map[string]time.Time{},
	}
	b.Backend = NewBackend(t, b.handle)
	return b
}

// handle answers a request once the gate is open. It doesn't answer if the client disconnects before.
func (b *GatedBackend) handle(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.arrived[r.Header.Get("X-Request-Id")] = time.Now()
	gate := b.gate
	b.mu.Unlock()
	select {
	case <-gate:
		OK(w, r)
	case <-r.Context().Done():
	}
}

// Disconnect calls disconnect, which disconnects the clients of the requests with these ids, and then records the time for each
// id.
func (b *GatedBackend) Disconnect(ids []string, disconnect func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	disconnect()
	for _, id := range ids {
		b.disconnected[id] = time.Now()
	}
}

// OpenGate opens the gate until CloseGate is called. The gate must be closed.
func (b *GatedBackend) OpenGate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.gate)
}

// CloseGate closes the gate, so that requests that arrive later wait. The gate must be open.
func (b *GatedBackend) CloseGate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate = make(chan struct{})
}

// Release answers the requests that wait, but none that arrive later. The gate must be closed.
func (b *GatedBackend) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.gate)
	b.gate = make(chan struct{})
}

// Counts returns how many requests arrived, how many clients of requests were disconnected, and how many requests arrived more
// than bound after their client had disconnected.
func (b *GatedBackend) Counts(bound time.Duration) (arrived, disconnected, late int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.disconnected {
		if arrivedAt, ok := b.arrived[id]; ok && arrivedAt.Sub(at) > bound {
			late++
		}
	}
	return len(b.arrived), len(b.disconnected), late
}
