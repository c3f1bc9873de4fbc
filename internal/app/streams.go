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

// streams holds a cluster's answers that go on as streams to the limits of their classes.
type streams struct {
	clock engine.Clock

	mu    sync.Mutex
	table *streamtimeout.Table
	timer *time.Timer // runs expire when the table's next one is due
}

func newStreams(clock engine.Clock) *streams {
	s := &streams{clock: clock, table: streamtimeout.New()}
	s.timer = time.AfterFunc(time.Hour, s.expire)
	s.timer.Stop()
	return s
}

// hold follows an answer that goes on, until it is closed.
func (s *streams) hold(a engine.Answer, l streamtimeout.Limits) {
	answer, ok := a.Value.(*h1client.Answer)
	if !ok || answer.Stream == nil && answer.Tunnel == nil || l == (streamtimeout.Limits{}) {
		return
	}
	var abort func()
	h := &held{streams: s}
	if answer.Stream != nil {
		abort = answer.Stream.Abort
		answer.Stream = &heldStream{answer.Stream, h}
	} else {
		tunnel := answer.Tunnel
		abort = func() { tunnel.Close() }
		answer.Tunnel = &heldTunnel{tunnel, h}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.entry = s.table.Open(s.clock.Now(), uint64(a.From.Endpoint), l, abort)
	// The engine is told of a drain before drain is: one of the two sees it.
	if since, told := a.From.DrainingSince(); told {
		s.table.Drain(since, uint64(a.From.Endpoint))
	}
	s.arm()
}

// count tells how many streams are held.
func (s *streams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// drain tells of servers that drain or are gone since a time on the clock.
func (s *streams) drain(since time.Duration, servers []policy.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range servers {
		s.table.Drain(since, uint64(id))
	}
	s.arm()
}

// arm sets the timer; s.mu is held.
func (s *streams) arm() {
	if at, ok := s.table.Next(); ok {
		s.timer.Reset(max(0, at-s.clock.Now()))
	} else {
		s.timer.Stop()
	}
}

// expire cuts what is due. The client is told by an answer that is not whole: to end it cleanly
// would pass a part for the whole.
func (s *streams) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := s.clock.Now(); ; {
		due, _ := s.table.Due(now)
		if due == nil {
			break
		}
		go due.Owner.(func())() // may wait for the stream's own locks
	}
	s.arm()
}

// held is a stream's place in the table.
type held struct {
	streams *streams
	entry   *streamtimeout.Stream
	once    sync.Once
}

func (h *held) over() {
	h.once.Do(func() {
		h.streams.mu.Lock()
		defer h.streams.mu.Unlock()
		h.streams.table.Close(h.entry)
		h.streams.arm()
	})
}

type heldStream struct {
	h1client.Stream
	*held
}

// Close implements h1client.Stream.
func (h *heldStream) Close() error {
	h.over()
	return h.Stream.Close()
}

type heldTunnel struct {
	net.Conn
	*held
}

// Close implements net.Conn.
func (h *heldTunnel) Close() error {
	h.over()
	return h.Conn.Close()
}

// CloseWrite tells the server that nothing more comes.
func (h *heldTunnel) CloseWrite() error {
	return h.Conn.(interface{ CloseWrite() error }).CloseWrite()
}
