// Package priority divides a cluster's requests among its priorities by the health of each, as Envoy's priority levels
// do, with one difference: an endpoint that has just started counts with the capacity that it has by its slow start. A
// priority that recovers takes its load over as its endpoints warm up and is not overloaded by all of it at once. The
// package is pure: time is passed in.
//
// A tier is the healthy or the degraded part of a priority. plan.go divides the endpoints into tiers, shares.go the
// requests. Which endpoint of a tier gets a request is decided elsewhere (package policy).
package priority
