// Package consensus is the replicated state of a fleet: the log of its configuration versions, leases for acting on
// them, the ownership of singleton tasks, and the rules for which versions contradict each other. The package does no
// I/O and reads no clock: package agent passes in messages and times, and does what Voter.Ready returns.
//
// Two versions contradict each other if a node that acts on one and a node that acts on the other could together
// break a rule that each of them keeps by itself. No two nodes may act on such versions at the same time. Other
// versions may coexist: one node decides each request, so settings that affect only how well a request is served need
// no agreement.
//
// A version that contradicts the active one becomes active in these steps:
//
//	Voter.Propose             a Manifest becomes an Entry of the raft log
//	State.Apply               every voter applies the entry: the version is pending, for the epoch after the current one
//	LeaseTable.Grant          voters grant leases that cover the next epoch, and report the log's status with them
//	Lease.DesiredVersions     a node with a quorum of such leases acts on the stricter combination (Stricter)
//	Lease.ConfirmVersions     the node's next LeaseRequest confirms that it acts on no earlier epoch
//	LeaseTable.CanAcknowledge a voter waits until each process it granted a lease has confirmed, or its lease has expired
//	Voter.AcknowledgeEpoch    the voter proposes an EpochAck; a quorum of EpochAcks makes the version the active one
//
// Ownership of a singleton task moves in the same way: TaskAssignment, Lease.ConfirmOwnership,
// LeaseTable.FormerOwnerEnded, OwnershipEnd. Each voter grants leases from its own table. A quorum of grants and a
// quorum of acknowledgments have at least one voter in common (C. Gray and D. Cheriton, "Leases", SOSP 1989).
package consensus
