// Package xds follows control planes that speak Envoy's aggregated discovery service (ADS). Package ads implements the
// protocol, package translate decodes and validates the resources, and package state derives the clusters and routes in
// force from them. This package does the I/O, on the network and on the cache file, and leaves all decisions to those.
//
// Control flow of a response: stream.go receives its bytes, wire.go parses them, client.go has package ads accept or
// reject the resources and package state apply them, passes the result to the caller's function, and sends the ACK or
// NACK. versioncache.go stores the last valid form of each resource, in a file of the format of cachefile.go, so that a
// process can start without a control plane.
//
// Goroutines: the goroutine that calls Run owns the state machine and the state, without locks. For each stream it
// starts a receiver and a sender, and waits until both have ended before it opens the next stream. If a cache file is
// configured, New starts the goroutine that writes the file, and Run ends it.
package xds
