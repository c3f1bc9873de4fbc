// Package xds follows control planes that speak Envoy's aggregated discovery service. The protocol is in package ads,
// the meaning of resources in translate and what follows from them in state; this package has the sockets and the cache
// file, and decides nothing.
//
// The way of a response through the files: stream.go receives its bytes, wire.go parses them, client.go has package ads
// accept or reject the resources and package state apply them, gives the result to the caller's function, and sends the
// ACK or NACK. versioncache.go stores the last valid form of each resource by cachefile.go, so that a process can start
// without a control plane.
//
// Goroutines: Run is one, which owns the state machine and the state; there are no locks. For each stream it starts a
// receiver and a sender, which it ends and waits for before the next one. New starts the writer of the cache file, if
// there is one; Run ends it.
package xds
