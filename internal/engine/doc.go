// Package engine carries out the decisions of a policy.Balancer, independently of the protocol: a downstream server
// submits a Request to a Cluster and gets one Answer, and an Exchanger carries each attempt to its endpoint.
//
// # Guarantees
//
// These hold whatever the Balancer decides and the Exchanger does:
//
//   - Each attempt has exactly one outcome, reported to the Balancer once (Cluster.reportOutcome).
//   - Each request gets exactly one final answer (Cluster.sendAnswer), at most 5 ms after its deadline
//     (requestDeadline.expire).
//   - Nothing is sent for a request that has its final answer (Cluster.endRequest closes its attempts' gates).
//   - No send to an endpoint begins later than Options.DrainSendGrace after the engine was notified that the endpoint
//     drains or was removed, even if the send was decided before (Cluster.updateDrains records the time of the
//     notification, Call.begin checks it).
//   - No retry of a request that is idempotent by key is sent after the end of its deduplication window, however
//     late the retry's connection is established (dedupWindow.begin).
//
// # Request lifecycle
//
//	Cluster.Do             requests.go  posts requestReceived and waits for the Answer
//	Cluster.run            loop.go      receives the event on the loop's goroutine
//	Cluster.startRequest   requests.go  sets the deadline's timer and calls Balancer.Request
//	Cluster.Send           host.go      called by the Balancer: starts an attempt and its timer
//	Cluster.exchange       attempts.go  runs Exchanger.Exchange on the attempt's goroutine
//	Call.BeginSend         sendgate.go  called by the Exchanger before the first byte: may it still be sent?
//	Cluster.reportOutcome  attempts.go  on the loop's goroutine: reports the outcome to the Balancer
//	Cluster.sendAnswer     answers.go   gives the final answer to Do
//
// The Balancer rejects or fails a request by Cluster.Reject and Cluster.Fail (host.go). The events that the loop
// handles are listed in events.go; its timers are in timers.go. Cluster.UpdateEndpoints (endpoints.go) applies changes
// of the endpoint list; snapshot.go transfers the learned state of a Balancer.
//
// # Goroutines
//
//   - New starts the event loop (Cluster.run), the only goroutine that calls the Balancer. The loop ends with the
//     context given to New, or once Cluster.Retire was called and no call of Do is open; Cluster.Ended is closed then.
//   - Cluster.Send starts one goroutine for each attempt (Cluster.exchange). This goroutine ends when
//     Exchanger.Exchange returns, which is soon after Call.Stop. The loop stops each attempt when its outcome is
//     reported, or Request.LateAnswerTimeout later, and stops all attempts in flight when the loop itself ends.
//   - Call.Stop, and Call.OnStop on a stopped call, run the function given to OnStop on a new goroutine; the loop does
//     the same with Request.OnLateAnswer. These goroutines end when the function returns.
package engine
