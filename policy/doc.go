// Package policy makes the decisions of one load balancer node: which endpoint gets a request, when a further
// attempt is made, which requests are rejected, and how the endpoint list is followed.
//
// A Balancer is a pure state machine. Each event is a method (balancer.go); its answers are calls of the
// actions of Host (api.go). It has no clock, no goroutine and no global state: times are passed in with the
// events, as durations since an arbitrary origin, and the same events with the same seed give the same
// actions. It is not safe for concurrent use. Only Quotas may be shared between Balancers.
//
// # The way of a request
//
//	Balancer.Request   balancer.go        known class? deadlines (request.go), weight (quotas.go)
//	enqueue            admission.go       into the queue, by weight for the expected work
//	dispatch           admission.go       sends what has capacity; gives up when every breaker is open
//	refresh            scoring.go         subset (subset.go), breakers (circuitbreaker.go), scores
//	pick               selection.go       half-open trial, or two random candidates and the better of them
//	maySend            selection.go       the rules that every attempt keeps: deadline, attempts, drains,
//	                                      idempotency.go, slowstart.go
//	hasCapacity        concurrencylimit.go, per endpoint; withinConcurrencyLimit for the node
//	Host.Send
//	Balancer.Outcome   balancer.go        recordOutcome (outcomes.go): score, breaker, latency (latency.go),
//	                                      adjustConcurrencyLimit (concurrencylimit.go)
//	retry              retry.go           backoff and back into the queue, or giveUp (admission.go)
//
// While a request is open, sweep (sweep.go) runs every sweepInterval: it sheds queued requests that can no
// longer be answered in time (admission.go), detects unresponsive attempts and hedges them (hedging.go), ends
// backoffs, and gives up at the deadline.
//
// # The way of an endpoint update
//
// Balancer.UpdateEndpoints follows the list (polling.go), applies it (endpoints.go), and dispatches. What was
// learnt passes to a succeeding process through Balancer.Snapshot and Balancer.Restore (snapshot.go).
package policy
