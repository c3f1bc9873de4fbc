package testutil

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// GatedBackend is a server that answers no request while its gate is closed, for tests of clients that disconnect
// meanwhile. It records when requests arrived, by their X-Request-Id.
type GatedBackend struct {
	*Backend
	mu           sync.Mutex
	gate         chan struct{} // closed while the gate is open
	arrived      map[string]time.Time
	disconnected map[string]time.Time
}

// NewGatedBackend starts a server whose gate is closed.
func NewGatedBackend(t testing.TB) *GatedBackend {
	b := &GatedBackend{
		gate: make(chan struct{}), arrived: map[string]time.Time{}, disconnected: map[string]time.Time{},
	}
	b.Backend = NewBackend(t, b.handle)
	return b
}

// handle answers once the gate is open, or not at all where the client disconnects before.
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

// Disconnect calls disconnect, which ends the clients of requests with ids, and records the time.
func (b *GatedBackend) Disconnect(ids []string, disconnect func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	disconnect()
	for _, id := range ids {
		b.disconnected[id] = time.Now()
	}
}

// OpenGate lets requests continue until CloseGate.
func (b *GatedBackend) OpenGate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.gate)
}

// CloseGate lets later requests wait. The gate must be open.
func (b *GatedBackend) CloseGate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate = make(chan struct{})
}

// Release lets the requests that wait continue, and no later ones. The gate must be closed.
func (b *GatedBackend) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.gate)
	b.gate = make(chan struct{})
}

// Counts returns how many requests arrived, how many of their clients disconnected, and how many requests arrived more
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
