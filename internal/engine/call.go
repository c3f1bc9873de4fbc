package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/policy"
)

// Call is one attempt as its Exchanger sees it.
type Call struct {
	gate   atomic.Int32
	to     policy.EndpointID
	server *member
	clock  Clock
	sent   func(server policy.EndpointID, at time.Duration) // Options.OnSend
	may    func() bool                                      // Request.SendAllowed
	left   func() bool                                      // Request.TimeRemaining
	window *window                                          // of a keyed request; nil: it is none

	mu      sync.Mutex
	stopped bool
	hook    func()          // run at the stop
	ctx     context.Context // made where somebody asks for it
	cancel  context.CancelFunc
}

const (
	unsent int32 = iota
	begun
	revoked
)

// NewCall gives a call that belongs to no cluster and is given up when ctx ends, for
// tests of exchangers.
func NewCall(ctx context.Context) *Call {
	c := &Call{}
	context.AfterFunc(ctx, c.Stop)
	return c
}

// Context ends when the attempt is given up. It costs more than OnStop does.
func (c *Call) Context() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if c.stopped {
			c.cancel()
		}
	}
	return c.ctx
}

// OnStop has do run, on another goroutine, when the attempt is given up; at once if it
// was. A call has one such function at a time.
func (c *Call) OnStop(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		go do()
		return
	}
	c.hook = do
}

// ClearOnStop takes the function of OnStop back; false if it was started.
func (c *Call) ClearOnStop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = nil
	return !c.stopped
}

// Stop gives the attempt up.
func (c *Call) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	if c.hook != nil {
		go c.hook()
		c.hook = nil
	}
	if c.cancel != nil {
		c.cancel()
	}
}

// BeginSend asks for leave to send. It is true once at most: not after the request's final
// answer, nor Options.DrainGrace after word that the server drains, nor where Request.SendAllowed or Request.TimeRemaining say
// so, nor for a keyed request where the window is over in which servers drop its repeats.
func (c *Call) BeginSend() bool { return c.begin(0) }

// begin is Begin for a send that is out at by, on the Clock, at the latest; 0: at once.
func (c *Call) begin(by time.Duration) bool {
	if c.server == nil { // of NewCall
		return c.gate.CompareAndSwap(unsent, begun)
	}
	now := c.clock.Now()
	if c.server.barred(now) || c.may != nil && !c.may() || c.left != nil && c.left() {
		c.Revoke()
	}
	if c.window != nil {
		if !c.window.begin(c, now, max(now, by)) {
			return false
		}
	} else if !c.gate.CompareAndSwap(unsent, begun) {
		return false
	}
	if c.sent != nil {
		c.sent(c.to, now)
	}
	return true
}

// BeginSendUnlessDraining is Begin for a send that somebody else is told to begin, by a time on the Clock at the latest:
// it is false as soon as word of the server's drain has come, so that all of the grace is theirs, and for a repeat
// whose window ends before that time.
func (c *Call) BeginSendUnlessDraining(by time.Duration) bool {
	if c.server != nil && c.server.told.Load() != 0 {
		c.Revoke()
	}
	return c.begin(by)
}

// Revoke bars a call from being sent if that has not begun.
func (c *Call) Revoke() { c.gate.CompareAndSwap(unsent, revoked) }

// Source is the server that an answer came from, for what of it outlives the attempt.
type Source struct {
	Endpoint policy.EndpointID
	member *member
}

// DrainingSince tells when the engine was told that the server drains or is gone; false: it was not.
func (s Source) DrainingSince() (since time.Duration, told bool) {
	if s.member == nil {
		return 0, false
	}
	at := s.member.told.Load()
	return time.Duration(at), at != 0
}

// member is a server of the list, from its first line until a line says that it drains
// or is gone. A server that comes back is another member.
type member struct {
	grace time.Duration // from told on, in which what was decided before may be sent
	told  atomic.Int64  // on the clock, when word came that it drains or is gone; 0: none did
}

func (m *member) barred(now time.Duration) bool {
	told := m.told.Load()
	return told != 0 && now > time.Duration(told)+m.grace
}

func (m *member) bar(told time.Duration) { m.told.CompareAndSwap(0, int64(max(1, told))) }
