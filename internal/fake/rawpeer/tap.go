package rawpeer

import (
	"bytes"
	"sync"
)

// maxTapped is how many bytes a Tap records, give or take one write, until it is drained.
const maxTapped = 1 << 20

// Tap records what a server receives. Its methods are safe for concurrent use.
type Tap struct {
	mu       sync.Mutex
	received bytes.Buffer
}

// Write implements io.Writer. Bytes beyond maxTapped are not recorded.
func (t *Tap) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.received.Len() < maxTapped {
		t.received.Write(p)
	}
	return len(p), nil
}

// Drain returns what was recorded since the last call.
func (t *Tap) Drain() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.received.Reset()
	return t.received.String()
}
