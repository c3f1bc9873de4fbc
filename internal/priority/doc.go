// Package priority divides a cluster's requests among its priorities by the health of their endpoints, as Envoy's priority
// levels do, with one difference: an endpoint that has started recently counts with the part of its capacity that its slow
// start allows. A priority that recovers therefore takes over its load gradually, as its endpoints warm up, and is not
// overloaded by all of it at once. The package does no I/O, and time is passed in.
//
// A tier is the healthy or the degraded part of a priority. plan.go divides the endpoints into tiers, and shares.go divides
// the requests among the tiers. Package policy selects the endpoint of a tier that gets a request.
package priority
