// Package ads implements the client side of the aggregated discovery service as a pure state machine: its inputs are
// messages and the time, its outputs are messages and resource updates. The package uses no socket, goroutine, clock or
// lock. It implements the state-of-the-world and the incremental variant (envoy.service.discovery.v3; the rules are
// those of "xDS REST and gRPC protocol" in Envoy's documentation).
//
// The machine tracks which resources are subscribed to, which versions were accepted, and which nonces were answered. A
// Decode function validates resources and gives them their meaning. If a response has invalid resources, the NACK names
// each of them and their last valid forms stay in force; the other resources of the response are accepted.
//
// Control flow of a message: machine.go opens a stream, with the initial requests that subscription.go builds.
// response.go handles a response, accepts or rejects its resources within the limits of limits.go, and returns the
// update and the ACK or NACK (nack.go). missing.go reports resources that have not come within a timeout as
// nonexistent. serverselector.go is independent of the machine and selects the control plane for the next stream.
package ads
