// Package engine carries out the decisions of a policy.Balancer, independently of the protocol: a downstream server
// submits a Request to a Cluster and gets one Answer, and an Exchanger carries each attempt to its endpoint.
//
// # Guarantees
//
// Whatever the Balancer decides and the Exchanger does:
//
//   - Each attempt has exactly one outcome, reported to the Balancer once (Cluster.reportOutcome).
//   - Each request gets exactly one final answer (Cluster.sendAnswer), at most 5 ms after its deadline
//     (requestDeadline.expire).
//   - Nothing is sent for a request that has its final answer (Cluster.endRequest closes its attempts' gates).
//   - Nothing new is sent to an endpoint later than Options.DrainSendGrace after the engine was notified that the
//     endpoint drains or was removed, even if it was decided before (Cluster.updateDrains records the time, Call.begin
//     checks it).
//   - No retry of a request that is idempotent by key is sent after the end of its deduplication window, however
//     late its connection is established (dedupWindow.begin).
//
// # The way of a request
//
//	Cluster.Do             requests.go  posts requestReceived and waits for the Answer
//	Cluster.run            loop.go      takes the event on the loop's goroutine
//	Cluster.startRequest   requests.go  sets the deadline's timer and calls Balancer.Request
//	Cluster.Send           host.go      called by the Balancer: starts an attempt and its timer
//	Cluster.exchange       attempts.go  runs Exchanger.Exchange on the attempt's goroutine
//	Call.BeginSend         sendgate.go  called by the Exchanger before the first byte: may this still be sent?
//	Cluster.reportOutcome  attempts.go  on the loop's goroutine: reports the outcome to the Balancer
//	Cluster.sendAnswer     answers.go   gives the final answer to Do
//
// The Balancer rejects or fails a request by Cluster.Reject and Cluster.Fail (host.go). The events that the loop
// handles are listed in events.go; the times that it waits for are in timers.go. Cluster.UpdateEndpoints (endpoints.go)
// takes the endpoint list; snapshot.go passes on what a Balancer has learnt.
//
// # Goroutines
//
//   - New starts the event loop (Cluster.run), the only goroutine that calls the Balancer. It ends with the context
//     given to New, or once Cluster.Retire was called and no call of Do is open; Cluster.Ended is closed then.
//   - Cluster.Send starts one goroutine for each attempt (Cluster.exchange). It ends when Exchanger.Exchange returns,
//     which is soon after Call.Stop. The loop stops each attempt with its outcome, or Request.LateAnswerTimeout
//     later, and all that are in flight when it ends itself.
//   - Call.Stop, and Call.OnStop on a stopped call, run the function of OnStop on a goroutine of its own; so does the
//     loop with Request.OnLateAnswer. These end when the function returns.
package engine
