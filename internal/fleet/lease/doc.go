// Package lease defines the timing of a fleet's leases, and the disconnected policy of a node whose lease has expired.
// The package has no state and does no I/O. Package consensus grants and evaluates leases by this timing.
//
// The holder of a lease counts its term from when it requested the lease, and the voter that granted it counts from when
// it granted the lease, each on its own clock. The holder's term ends first, on any clocks within the allowed drift
// (C. Gray and D. Cheriton, "Leases", SOSP 1989).
package lease
