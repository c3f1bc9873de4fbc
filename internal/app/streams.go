package app

import (
	"net"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/streamtimeout"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// streams enforces the stream timeouts of a cluster's streamed responses and tunnels, which their classes define.
type streams struct {
	clock engine.Clock

	mu    sync.Mutex // guards the fields below
	table *streamtimeout.Table
	timer *time.Timer // calls expire when the next timeout of table is due
}

func newStreams(clock engine.Clock) *streams {
	s := &streams{clock: clock, table: streamtimeout.New()}
	s.timer = time.AfterFunc(time.Hour, s.expire)
	s.timer.Stop()
	return s
}

// limit applies timeouts to the stream or tunnel of an answer until the stream or tunnel is closed. It does nothing if the
// answer has neither, or if l has no timeouts.
func (s *streams) limit(a engine.Answer, l streamtimeout.Limits) {
	answer, ok := a.Value.(*h1client.Answer)
	if !ok || answer.Stream == nil && answer.Tunnel == nil || l == (streamtimeout.Limits{}) {
		return
	}
	var abort func()
	t := &trackedStream{streams: s}
	if answer.Stream != nil {
		abort = answer.Stream.Abort
		answer.Stream = &limitedStream{answer.Stream, t}
	} else {
		tunnel := answer.Tunnel
		abort = func() { tunnel.Close() }
		answer.Tunnel = &limitedTunnel{tunnel, t}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.entry = s.table.Open(s.clock.Now(), uint64(a.From.Endpoint), l, abort)
	// The engine is informed of a drain before s.drain is called. So either this check finds the drain, or s.drain finds
	// the stream in the table.
	if since, draining := a.From.DrainingSince(); draining {
		s.table.DrainEndpoint(since, uint64(a.From.Endpoint))
	}
	s.resetTimer()
}

// count returns the number of open streams and tunnels that have timeouts.
func (s *streams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// drain starts the drain timeouts of the streams from endpoints that have been draining, or were removed, since a time on
// the clock.
func (s *streams) drain(since time.Duration, endpoints []policy.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range endpoints {
		s.table.DrainEndpoint(since, uint64(id))
	}
	s.resetTimer()
}

// resetTimer sets the timer to the next timeout of the table, or stops the timer if there is none. The caller holds s.mu.
func (s *streams) resetTimer() {
	if at, ok := s.table.NextDue(); ok {
		s.timer.Reset(max(0, at-s.clock.Now()))
	} else {
		s.timer.Stop()
	}
}

// expire aborts the streams whose timeout is over. The streams are aborted, not closed, since a client would take a
// truncated response that ends cleanly for a complete one.
func (s *streams) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := s.clock.Now(); ; {
		due, _ := s.table.PopDue(now)
		if due == nil {
			break
		}
		go due.Owner.(func())() // the abort may wait for the stream's own locks
	}
	s.resetTimer()
}

// trackedStream refers to the entry of a stream or tunnel in the table.
type trackedStream struct {
	streams *streams
	entry   *streamtimeout.Stream // guarded by streams.mu
	once    sync.Once
}

// remove removes the stream from the table, which ends its timeouts. Calls after the first have no effect.
func (t *trackedStream) remove() {
	t.once.Do(func() {
		t.streams.mu.Lock()
		defer t.streams.mu.Unlock()
		t.streams.table.Close(t.entry)
		t.streams.resetTimer()
	})
}

// limitedStream is a response stream whose timeouts end when it is closed.
type limitedStream struct {
	h1client.Stream
	tracked *trackedStream
}

// Close implements h1client.Stream.
func (s *limitedStream) Close() error {
	s.tracked.remove()
	return s.Stream.Close()
}

// limitedTunnel is the connection of an upgraded request. Its timeouts end when it is closed.
type limitedTunnel struct {
	net.Conn
	tracked *trackedStream
}

// Close implements net.Conn.
func (t *limitedTunnel) Close() error {
	t.tracked.remove()
	return t.Conn.Close()
}

// CloseWrite closes the direction to the endpoint.
func (t *limitedTunnel) CloseWrite() error {
	return t.Conn.(interface{ CloseWrite() error }).CloseWrite()
}
