// Package replay handles requests with an idempotency key between a downstream server and the clusters: a
// repeated request gets the outcome of the first one instead of a run of its own. The states of keys are in
// package idempotency; this package adds the lock, the waiting and the answers.
//
// The first request under a key runs on a goroutine of its own, apart from its client: if the client disconnects
// while other requests wait for the outcome, it goes on for them. A request that waits keeps its own deadline.
package replay
