// Package streamtimeout limits how long streamed responses and upgraded connections stay open after their attempt has
// ended. It does no I/O: time is passed in, and the streams that have to end are returned.
//
// An attempt ends with the head of its response, and the rules for draining endpoints apply to new requests only. But an
// event stream can last for hours, and an endpoint that waits for its last stream would never finish draining. A stream
// therefore has two timeouts: one from its beginning (MaxDuration), and one from the time at which its endpoint begins to
// drain or is removed (DrainTimeout).
//
// table.go has the open streams, and streamheap.go orders them by the times at which they have to end.
package streamtimeout
