// Package lease defines the timing of a fleet's leases, and the policy of a node that has lost its lease. It has no
// state and does no I/O; package consensus grants and evaluates leases by it.
//
// A lease counts for its holder from when it was requested, and for the voter that granted it from when it was granted,
// each on a clock of its own. Of both terms the holder's is over first, on any clocks within the allowed drift (C. Gray
// and D. Cheriton, "Leases", SOSP 1989).
package lease
