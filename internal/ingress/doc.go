// Package ingress declares what every downstream server needs before it forwards a request: the request's destination
// (destination.go), the response to a request that is not forwarded (rejection.go), and the attributes in the request's
// header fields (attributes.go). The package does no I/O.
package ingress
