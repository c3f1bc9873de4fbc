// Package streamtimeout decides how long responses that go on as streams, and upgraded connections, stay open once
// their attempt is over. It is pure: time is passed in, and the streams that have to end are returned.
//
// An attempt ends with the head of its response, and the rules for draining endpoints are about new requests alone. But
// an event stream lasts for hours, and an endpoint that waits for its last stream would never be gone: a stream has a
// timeout of its own from when its endpoint began to drain.
//
// table.go has the open streams, streamheap.go their order by the times at which they have to end.
package streamtimeout
