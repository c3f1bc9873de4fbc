package h1server

import (
	"net/http"
	"sync/atomic"
	"time"

	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// This file accounts for the memory of request bodies. It is reserved as bytes arrive and given back as they leave, so that a
// request is rejected only where the memory is in use. An upload whose buffer can't grow is forwarded with the buffer that it
// has.

const (
	// minBodyBuffer is the least buffer of an upload, in bytes. A body that fits it is taken even if Options.BodyMemory is
	// used up.
	minBodyBuffer = 4 << 10
	// arrivingBytes is the memory that an upload needs beside its buffer: that of its goroutine and of the buffers of its
	// connection.
	arrivingBytes = 24<<10 + minBodyBuffer
	// forwardingBytes is what it needs in addition while it is forwarded: the same at the endpoint's side.
	forwardingBytes = 40 << 10
	// newBodyShare is the share of Options.BodyMemory, one in so many parts, that is kept for the arrivingBytes and
	// forwardingBytes of further requests.
	newBodyShare = 2
)

// bodyMemoryExhausted returns the rejection of a request for whose body there is no memory. Nothing of the request was forwarded.
func bodyMemoryExhausted(retryAfter time.Duration) error {
	return &ingress.Rejection{
		Status: http.StatusServiceUnavailable, Message: "too many large bodies at present", RetryAfter: retryAfter,
	}
}

// bodyMemory is the memory for the request bodies of a server. It is safe for concurrent use.
type bodyMemory struct {
	limit int64 // Options.BodyMemory
	used  atomic.Int64
}

// reserve reserves n bytes unless more than limit would then be used. It reports whether it did.
func (m *bodyMemory) reserve(n, limit int64) bool {
	if m.used.Add(n) <= limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// bodyReservation is the memory that is reserved for the body of one request. It is safe for concurrent use.
type bodyReservation struct {
	memory *bodyMemory
	bytes  atomic.Int64
}

var _ h1client.BufferMemory = (*bodyReservation)(nil)

// hold reserves n bytes that the body needs whatever arrives of it. It reports whether there were as many.
func (r *bodyReservation) hold(n int64) bool {
	if !r.memory.reserve(n, r.memory.limit) {
		return false
	}
	r.bytes.Add(n)
	return true
}

// Grow implements h1client.BufferMemory. It leaves a part of the memory to new requests.
func (r *bodyReservation) Grow(n int) bool {
	if !r.memory.reserve(int64(n), r.memory.limit-r.memory.limit/newBodyShare) {
		return false
	}
	r.bytes.Add(int64(n))
	return true
}

// Shrink implements h1client.BufferMemory.
func (r *bodyReservation) Shrink(n int) {
	r.bytes.Add(int64(-n))
	r.memory.used.Add(int64(-n))
}

// release gives all of the reservation back. The body must not be read any more.
func (r *bodyReservation) release() { r.memory.used.Add(-r.bytes.Swap(0)) }
