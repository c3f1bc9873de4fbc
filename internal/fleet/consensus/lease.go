package consensus

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/fleet/lease"
)

// LeaseConfig is the timing of leases.
type LeaseConfig = lease.Config

// LogStatus is the log's state at an index, as a voter has applied it. The state at an index never changes, so a
// LogStatus stays valid for its index, whichever node passes it on.
type LogStatus struct {
	Index          uint64 `json:"index"`
	Epoch          uint64 `json:"epoch"`
	ActiveVersion  uint64 `json:"number"`
	PendingVersion uint64 `json:"pending"`
}

// LogStatus returns the state's summary for nodes that don't vote.
func (s *State) LogStatus() LogStatus {
	return LogStatus{s.Index, s.Epoch, s.ActiveVersion, s.PendingVersion}
}

// LeaseRequest is a node's heartbeat to each voter. A request asks for a new lease, and confirms which epochs and
// ownership revisions the node no longer acts on.
type LeaseRequest struct {
	Node               string `json:"node"`
	Incarnation        string `json:"life"`      // identifies the node's process: different after each start
	Sequence           uint64 `json:"seq"`       // matches grants to requests
	ConfirmedEpoch     uint64 `json:"confirmed"` // the node no longer acts on epochs before this one
	ConfirmedOwnership uint64 `json:"set"`       // the node no longer owns tasks by ownership revisions before this one
}

// Grant is a voter's promise for a lease's duration from the request on. While the lease lasts, the voter
// acknowledges no epoch after MinCoveredEpoch unless the node has confirmed that it no longer acts on earlier ones,
// and confirms no end of an ownership that the node's process loses after OwnershipRevision unless the process has
// confirmed the loss. So MinCoveredEpoch and OwnershipRevision are the smallest epoch and the smallest ownership
// revision that the grant covers. A node may act on the epochs and ownership revisions that the grants of a quorum
// cover.
type Grant struct {
	VoterID           uint64    `json:"voter"`
	Sequence          uint64    `json:"seq"`
	MinCoveredEpoch   uint64    `json:"upto"`
	OwnershipRevision uint64    `json:"set"`
	LogStatus         LogStatus `json:"facts"`
}

// ActiveVersions identifies what a node acts on: one version, or, if PendingVersion isn't 0, the stricter combination of
// two versions that contradict each other. The zero value means that the node acts on no version.
type ActiveVersions struct {
	Epoch          uint64 `json:"epoch"` // epoch that the grants of a quorum have to cover
	Version        uint64 `json:"number"`
	PendingVersion uint64 `json:"pending"`
}

// String formats the versions for operators.
func (r ActiveVersions) String() string {
	switch {
	case r.Version == 0:
		return "nothing"
	case r.PendingVersion != 0:
		return fmt.Sprintf("stricter combination of versions %d and %d", r.Version, r.PendingVersion)
	}
	return fmt.Sprint("version ", r.Version)
}

// maxOutstandingRequests is how many lease requests may be unanswered. Grants for older requests are ignored.
const maxOutstandingRequests = 64

// Lease is a node's side of its leases: which versions and tasks the node may act on, and for how long, by the grants of
// the voters. Callers have to evaluate a Lease at the moment of each decision and of each send, since an earlier result
// goes stale. Times are on the node's own clock, which must also count the time for which the machine or the process was
// suspended.
type Lease struct {
	config            LeaseConfig
	voters            int
	logStatus         LogStatus
	confirmedEpoch    uint64
	sequence          uint64
	requestedAt       map[uint64]time.Duration // when each outstanding request was made, by sequence
	epochGrants       voterGrants
	ownershipGrants   voterGrants
	ownershipRevision uint64                        // ownership revision that the node acts on; 0: none yet
	hasVersion        func(number uint64) (ok bool) // whether the node could act on a version; may start to fetch it
}

// voterGrants are the grants of one kind, by voter.
type voterGrants map[uint64][]activeGrant

// activeGrant is a grant with its end on the holder's clock.
type activeGrant struct {
	revision uint64 // smallest epoch or ownership revision that the grant covers
	end      time.Duration
}

// NewLease creates a node's side of its leases. DesiredVersions calls hasVersion, which reports whether the node could act
// on a version, and may start to fetch the version.
func NewLease(config LeaseConfig, voters int, hasVersion func(number uint64) bool) *Lease {
	return &Lease{
		config: config, voters: voters, hasVersion: hasVersion,
		requestedAt: map[uint64]time.Duration{}, epochGrants: voterGrants{}, ownershipGrants: voterGrants{},
	}
}

// NextRequest creates the next request. Its lease counts from now on, so the request should be sent at once.
func (l *Lease) NextRequest(now time.Duration) LeaseRequest {
	l.sequence++
	l.requestedAt[l.sequence] = now
	delete(l.requestedAt, l.sequence-maxOutstandingRequests)
	return LeaseRequest{Sequence: l.sequence, ConfirmedEpoch: l.confirmedEpoch, ConfirmedOwnership: l.ownershipRevision}
}

// HandleGrant records a grant. A grant that arrives late or twice counts from its request on, like any other grant.
func (l *Lease) HandleGrant(g Grant) {
	l.UpdateLogStatus(g.LogStatus)
	requested, known := l.requestedAt[g.Sequence]
	if !known || len(l.epochGrants) >= 2*l.voters && l.epochGrants[g.VoterID] == nil {
		return
	}
	end := requested + l.config.HolderTerm()
	l.epochGrants.add(g.VoterID, activeGrant{g.MinCoveredEpoch, end}, l.logStatus.Epoch)
	// Of epochs, add also retains the grants for the one before the current epoch, on which the node may still act. Of
	// ownership revisions, which are log indexes, the +1 makes it retain the grants from the confirmed revision on.
	l.ownershipGrants.add(g.VoterID, activeGrant{g.OwnershipRevision, end}, l.ownershipRevision+1)
}

// UpdateLogStatus records the log status that a voter has reported, unless a later one is known.
func (l *Lease) UpdateLogStatus(status LogStatus) {
	if status.Index > l.logStatus.Index {
		l.logStatus = status
	}
}

// LogStatus returns the latest log status that the node has heard of.
func (l *Lease) LogStatus() LogStatus { return l.logStatus }

// DesiredVersions returns the versions that the node should act on now, by the log status, the grants and the versions
// that the node has. The zero value means none.
func (l *Lease) DesiredVersions(now time.Duration) ActiveVersions {
	status := l.logStatus
	if status.ActiveVersion == 0 {
		return ActiveVersions{}
	}
	single := ActiveVersions{Epoch: status.Epoch, Version: status.ActiveVersion}
	joint := ActiveVersions{Epoch: status.Epoch + 1, Version: status.ActiveVersion, PendingVersion: status.PendingVersion}
	switch {
	case status.PendingVersion != 0 && l.hasVersion(status.PendingVersion) &&
		l.hasVersion(status.ActiveVersion) && l.Permits(now, joint):
		return joint
	case l.hasVersion(status.ActiveVersion) && l.Permits(now, single):
		return single
	}
	return ActiveVersions{}
}

// Permits reports whether the node may act on the given versions at this moment.
func (l *Lease) Permits(now time.Duration, r ActiveVersions) bool {
	return r.Version != 0 && r.Epoch >= l.confirmedEpoch &&
		l.epochGrants.countCovering(now, r.Epoch) >= QuorumSize(l.voters)
}

// ConfirmVersions records that the node acts on the given versions from now on, and on no earlier epoch. The next lease
// request confirms this to the voters.
func (l *Lease) ConfirmVersions(r ActiveVersions) { l.confirmedEpoch = max(l.confirmedEpoch, r.Epoch) }

// ConfirmOwnership records that the node owns the tasks of an ownership revision from now on, and no others. The next
// lease request confirms this to the voters.
func (l *Lease) ConfirmOwnership(revision uint64) {
	l.ownershipRevision = max(l.ownershipRevision, revision)
}

// PermitsOwnership reports whether the node may act at this moment as the owner of the tasks of the ownership revision
// that it confirmed last.
func (l *Lease) PermitsOwnership(now time.Duration) bool {
	return l.ownershipRevision > 0 &&
		l.ownershipGrants.countCovering(now, l.ownershipRevision) >= QuorumSize(l.voters)
}

// Remaining returns how long the node may go on acting on the given versions without a further grant.
func (l *Lease) Remaining(now time.Duration, r ActiveVersions) time.Duration {
	if r.Version == 0 {
		return 0
	}
	return l.remaining(l.epochGrants, now, r.Epoch)
}

// OwnershipRemaining returns how long the node may go on acting as the owner of its tasks without a further grant.
func (l *Lease) OwnershipRemaining(now time.Duration) time.Duration {
	return l.remaining(l.ownershipGrants, now, l.ownershipRevision)
}

// remaining returns how long the grants of a quorum cover a revision from now on; 0 if they don't.
func (l *Lease) remaining(grants voterGrants, now time.Duration, revision uint64) time.Duration {
	ends := grants.ends(revision)
	slices.Sort(ends)
	quorum := QuorumSize(l.voters)
	if len(ends) < quorum {
		return 0
	}
	return max(0, ends[len(ends)-quorum]-now)
}

// covers reports whether a grant covers a revision: see Grant.
func (g activeGrant) covers(revision uint64) bool { return g.revision <= revision }

// add records a voter's grant. A grant for a revision that the voter has granted before only extends that grant. A grant
// for another revision also removes the voter's grants for revisions below current-1. current is the latest epoch in the
// log that the node has heard of, or the ownership revision that it has confirmed plus 1.
func (g voterGrants) add(voter uint64, grant activeGrant, current uint64) {
	list := g[voter]
	if i := slices.IndexFunc(list, func(other activeGrant) bool { return other.revision == grant.revision }); i >= 0 {
		list[i].end = max(list[i].end, grant.end)
		return
	}
	list = slices.DeleteFunc(list, func(other activeGrant) bool { return other.revision+1 < current })
	g[voter] = append(list, grant)
}

// countCovering returns the number of voters whose grants cover a revision at this moment.
func (g voterGrants) countCovering(now time.Duration, revision uint64) (voters int) {
	for _, list := range g {
		if slices.ContainsFunc(list, func(grant activeGrant) bool { return grant.covers(revision) && now < grant.end }) {
			voters++
		}
	}
	return voters
}

// ends returns, for each voter, when the last of its grants that cover a revision ends; 0 if none does.
func (g voterGrants) ends(revision uint64) []time.Duration {
	var ends []time.Duration
	for _, list := range g {
		latest := time.Duration(0)
		for _, grant := range list {
			if grant.covers(revision) {
				latest = max(latest, grant.end)
			}
		}
		ends = append(ends, latest)
	}
	return ends
}
