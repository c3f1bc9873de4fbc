// Package policy makes the decisions of one load balancer node: which endpoint gets a request, when a further
// attempt is made, which requests are rejected, and how the endpoint list is followed.
//
// A Balancer is a pure state machine. Each kind of event is a method of Balancer (balancer.go); the
// Balancer responds by calling the actions of a Host (api.go). A Balancer has no clock, no goroutine and no
// global state: times are passed in with the events, as durations since an arbitrary origin, and the same
// events with the same seed give the same actions. A Balancer is not safe for concurrent use. Only Quotas
// may be shared between Balancers.
//
// Some rules differ among many nodes, that is, if Settings.NodeCount is above maxInformativeNodes
// (Balancer.manyNodes, subset.go). The requests of one node then say little about the load of the endpoints.
//
// # Processing of a request
//
//	Balancer.Request   balancer.go        sets deadlines (request.go) and weight (quotas.go)
//	enqueue            admission.go       queues it, in the order of weight divided by
//	                                      the class's mean latency (class.queueCost)
//	dispatchOtherClass classturns.go      lets classes take turns
//	dispatch           admission.go       sends while there is capacity, gives up if every breaker is open
//	refresh            scoring.go         updates subset (subset.go), breakers (circuitbreaker.go), scores
//	pick               selection.go       picks a half-open endpoint or the better of two random candidates
//	maySend            selection.go       checks the rules for every attempt: deadline, number of attempts,
//	                                      endpoint state, idempotency (idempotency.go), slow start
//	                                      (slowstart.go)
//	hasCapacity        concurrencylimit.go, per endpoint; withinConcurrencyLimit for the node
//	Host.Send
//	Balancer.Outcome   balancer.go        updates score and breaker (recordOutcome, outcomes.go), latencies
//	                                      (latency.go) and the concurrency limit (concurrencylimit.go)
//	AnswerStalled      stalls.go          hedges or replaces an attempt whose answer pauses
//	AnswerDue          begunanswers.go    chooses the begun answer that is passed on at the deadline
//	retry              retry.go           requeues after a backoff, or gives up (giveUp, admission.go)
//
// While a request is open, sweep (sweep.go) runs every sweepInterval. A sweep sheds queued requests that
// can no longer be answered in time (admission.go), detects unresponsive attempts and hedges them
// (hedging.go), requeues requests whose backoff has ended, and gives up requests at their deadline.
//
// # Processing of an endpoint update
//
// Balancer.UpdateEndpoints schedules polls (polling.go), applies the endpoint list (endpoints.go) and
// dispatches queued requests. Learned state passes to a succeeding process through Balancer.Snapshot and
// Balancer.Restore (snapshot.go).
package policy
