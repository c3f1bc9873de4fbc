package h1server

import (
	"sync"
	"time"
)

const (
	// abandonedIDTime is how long the ID of a request whose client has disconnected is not accepted again.
	abandonedIDTime = 30 * time.Second
	// maxAbandonedIDs limits the number of such IDs. Beyond it, the oldest is forgotten.
	maxAbandonedIDs = 4096
)

// requestIDs holds the IDs of requests that are open, and of those whose client has disconnected although they may have
// run: if such an ID comes again, its effect could happen twice. It is safe for concurrent use.
type requestIDs struct {
	mu        sync.Mutex
	open      map[string]struct{}
	abandoned map[string]time.Time // when the ID is accepted again
	order     []string             // the IDs in abandoned, the oldest first
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, abandoned: map[string]time.Time{}}
}

// claim reserves an ID for a request. It returns false if the ID belongs to an open request or to an abandoned one.
func (ids *requestIDs) claim(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if _, open := ids.open[id]; open || time.Now().Before(ids.abandoned[id]) {
		return false
	}
	ids.open[id] = struct{}{}
	return true
}

// release releases the ID of a request that has its final answer or has not run.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
}

// abandon releases the ID of a request whose client has disconnected and which may have run.
func (ids *requestIDs) abandon(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	now := time.Now()
	ids.abandoned[id] = now.Add(abandonedIDTime)
	ids.order = append(ids.order, id)
	for len(ids.order) > maxAbandonedIDs || now.After(ids.abandoned[ids.order[0]]) {
		delete(ids.abandoned, ids.order[0])
		ids.order = ids.order[1:]
	}
}
