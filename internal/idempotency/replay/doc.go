// Package replay deduplicates requests with an idempotency key between a downstream server and the clusters: a repeated
// request gets the outcome of the first request under its key and does not run. Package idempotency keeps the states of the
// keys; this package adds the lock, the waiting and the answers.
//
// The first request under a key runs on its own goroutine, independent of its client: if the client disconnects while other
// requests wait for the outcome, the first request goes on for them. A request that waits keeps its own deadline.
package replay
