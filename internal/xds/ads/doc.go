// Package ads is the client's side of the aggregated discovery service as a pure state machine: messages and time in,
// messages and resource updates out; no socket, no goroutine, no clock and no lock. It speaks the state-of-the-world
// and the incremental variant (envoy.service.discovery.v3; the rules are those of "xDS REST and gRPC protocol" in
// Envoy's documentation).
//
// The machine knows which resources are subscribed to, which versions were accepted, and which response awaits its ACK
// or NACK. What a resource means is decided by a Decode function. An invalid one among many is named in the NACK and
// its last valid form stays in force; the others are accepted.
//
// The way of a message: machine.go opens a stream, with the initial requests of subscription.go. response.go takes a
// response, accepts or rejects its resources within the limits of limits.go, and returns the update and its ACK or
// NACK (nack.go). missing.go reports the resources that do not exist after a timeout. serverselector.go, beside the
// machine, chooses the control plane that the next stream goes to.
package ads
