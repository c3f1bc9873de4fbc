package h1server

import (
	"net/http"
	"sync/atomic"
)

// This file accounts for how client connections end: each one has a reason, and the state of the request that was open on it.

// endReason is why a connection has ended. The first reason that is known counts.
type endReason uint32

// The reasons.
const (
	endUnknown       endReason = iota // net/http closed it: a timeout, a malformed request or the end of the server
	endByClient                       // the client closed or reset it
	endWithAnswer                     // the last answer announced the close
	endIdle                           // it was idle, or new, for as long as it may be
	endNoPlace                        // there was no place for it when its first bytes came
	endPlaceWanted                    // another connection wanted its place
	endPlaceLost                      // a request was read behind one of the two
	endExcessBytes                    // the client sent more behind its request than is read ahead
	endTooManyFields                  // a header had too many fields
	endAnswerCutOff                   // an answer could not be finished
	endReasonCount
)

// endReasonNames are the names of the reasons in events and metrics.
var endReasonNames = [endReasonCount]string{
	"closed by net/http", "closed by the client", "closed with its answer", "idle", "no place", "place wanted", "place lost",
	"bytes behind the request", "too many fields", "answer cut off",
}

// requestState is the state of the latest request on a connection over HTTP/1.
type requestState uint32

// The states. A connection over HTTP/2 stays in requestReading after its first bytes.
const (
	requestUnread    requestState = iota // nothing of it was read
	requestReading                       // a part of it was read, or all of it and its handler has not come to it
	requestTaken                         // the whole request, or its head if its body is streamed, was passed on
	requestAnswering                     // its final answer is being written
)

// requestStateNames are the names of the states in events.
var requestStateNames = [...]string{"unread", "reading", "taken", "answering"}

// connEnd is what is known of the end of a connection. It is safe for concurrent use.
type connEnd struct {
	reason atomic.Uint32
	state  atomic.Uint32
	id     atomic.Pointer[string] // X-Request-ID of the latest request; nil before the first
}

// because records the reason of the end, unless there is one already.
func (e *connEnd) because(reason endReason) {
	e.reason.CompareAndSwap(uint32(endUnknown), uint32(reason))
}

// moveTo records the state of the latest request. A nil connEnd belongs to no connection.
func (e *connEnd) moveTo(state requestState) { e.state.Store(uint32(state)) }

// requestArrives records that bytes of a request were read.
func (e *connEnd) requestArrives() {
	e.state.CompareAndSwap(uint32(requestUnread), uint32(requestReading))
}

// losesRequest reports whether a request may have been lost by the end: it was read in part or as a whole, and neither its client
// ended the connection nor was its answer written.
func (e *connEnd) losesRequest() bool {
	reason, state := endReason(e.reason.Load()), requestState(e.state.Load())
	return state != requestUnread && reason != endByClient && reason != endWithAnswer
}

// trackRequest records which request is open on the connection. It has no effect on a nil connection.
func (c *clientConn) trackRequest(r *http.Request) {
	if c != nil && r.ProtoMajor == 1 {
		id := r.Header.Get("X-Request-Id")
		c.end.id.Store(&id)
		c.end.moveTo(requestReading)
	}
}

// requestIs records the state of the open request. It has no effect on a nil connection.
func (c *clientConn) requestIs(state requestState) {
	if c != nil {
		c.end.moveTo(state)
	}
}

// endsBecause records why the connection ends. It has no effect on a nil connection.
func (c *clientConn) endsBecause(reason endReason) {
	if c != nil {
		c.end.because(reason)
	}
}

// recordEnd counts the end of a connection and logs it if a request may have been lost. The caller holds mu.
func (cs *clientConns) recordEnd(c *clientConn) {
	c.readMu.Lock()
	if c.ended {
		c.end.because(endByClient)
	}
	c.readMu.Unlock()
	reason := endReason(c.end.reason.Load())
	cs.ends[reason]++
	if cs.events == nil || !c.end.losesRequest() {
		return
	}
	id := ""
	if p := c.end.id.Load(); p != nil {
		id = *p
	}
	cs.events.connectionEnded(c.RemoteAddr().String(), id, endReasonNames[reason], requestStateNames[c.end.state.Load()])
}

// ConnectionEnds returns the number of connections that have ended so far, by reason.
func (s *Server) ConnectionEnds() map[string]int64 {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	ends := map[string]int64{}
	for reason, n := range s.conns.ends {
		if n > 0 {
			ends[endReasonNames[reason]] = n
		}
	}
	return ends
}
