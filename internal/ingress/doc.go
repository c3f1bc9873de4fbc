// Package ingress has what every downstream server needs to know of a request before it hands it on: where it goes
// (destination.go), why it goes nowhere (rejection.go), and what its header fields ask for (attributes.go). It is pure.
package ingress
