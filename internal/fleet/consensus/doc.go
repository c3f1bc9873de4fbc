// Package consensus is the replicated state of a fleet: the log of its configuration versions, leases for acting on
// them, the ownership of singleton tasks, and the rules for which versions contradict each other. It does no I/O and
// reads no clock: package agent passes in messages and times, and does what Voter.Ready returns.
//
// Two versions contradict each other where a node that acts on one and a node that acts on the other could together
// break a rule that each of them keeps by itself. No two nodes may act on such versions at the same time. Other
// versions may coexist: each request is decided by one node, so what only affects how well it is served needs no
// agreement.
//
// The way of a version that contradicts the active one:
//
//	Voter.Propose             a Manifest becomes an Entry of the raft log
//	State.Apply               every voter applies the entry: the version is pending, for the epoch after the present one
//	LeaseTable.Grant          voters grant leases that cover that epoch, and report the log's status with them
//	Lease.DesiredVersions     a node with a quorum of such leases acts on the stricter of both versions (Stricter)
//	Lease.ConfirmVersions     its next LeaseRequest confirms that it acts on nothing older
//	LeaseTable.CanAcknowledge a voter waits until each process that it granted a lease has confirmed or lost it
//	Voter.AcknowledgeEpoch    the voter proposes an EpochAck; those of a majority make the version the active one
//
// Ownership of a singleton task moves in the same way: TaskAssignment, Lease.ConfirmOwnership,
// LeaseTable.FormerOwnerEnded, OwnershipEnd. Every voter's table grants leases by itself; a quorum of grants meets every
// quorum of acknowledgments in one voter at least (C. Gray and D. Cheriton, "Leases", SOSP 1989).
package consensus
