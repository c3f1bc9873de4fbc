package rawpeer

import (
	"bytes"
	"sync"
)

// maxTapped is the number of recorded bytes from which on a Tap ignores writes until it is drained. The last recorded
// write may exceed it.
const maxTapped = 1 << 20

// Tap records the bytes that a server receives. Its methods are safe for concurrent use.
type Tap struct {
	mu       sync.Mutex
	received bytes.Buffer
}

// Write implements io.Writer. It discards p if at least maxTapped bytes are recorded.
func (t *Tap) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.received.Len() < maxTapped {
		t.received.Write(p)
	}
	return len(p), nil
}

// Drain returns the bytes that were recorded since the last call.
func (t *Tap) Drain() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.received.Reset()
	return t.received.String()
}
