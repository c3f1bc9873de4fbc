package agree

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yokestall/internal/fleet/terms"
)

// LeaseConfig is the timing of leases.
type LeaseConfig = terms.LeaseConfig

// LogStatus are what a voter has learnt from the log, at an index. They were true of it once, whoever tells them.
type LogStatus struct {
	Index          uint64 `json:"index"`
	Epoch          uint64 `json:"epoch"`
	ActiveVersion  uint64 `json:"number"`
	PendingVersion uint64 `json:"pending"`
}

// LogStatus gives the state's.
func (s *State) LogStatus() LogStatus {
	return LogStatus{s.Index, s.Epoch, s.ActiveVersion, s.PendingVersion}
}

func (f LogStatus) upto() uint64 {
	if f.PendingVersion != 0 {
		return f.Epoch + 1
	}
	return f.Epoch
}

// GrantLease is what a node asks each voter for, again and again.
type LeaseRequest struct {
	Node               string `json:"node"`
	Incarnation        string `json:"life"`      // of the process: another one after each start
	Sequence           uint64 `json:"seq"`       // by which the answer is told from those to earlier asks
	ConfirmedEpoch     uint64 `json:"confirmed"` // it acts on nothing any more that came before this epoch
	ConfirmedOwnership uint64 `json:"set"`       // nor as the owner of works by a set before this one
}

// Grant is a voter's promise: for the length of a lease from the ask on, it clears no epoch past Upto, and frees no work of the process that it
// is to lose past Set, unless the node confirms it.
type Grant struct {
	Voter             uint64    `json:"voter"`
	Sequence          uint64    `json:"seq"`
	MaxEpoch          uint64    `json:"upto"`
	OwnershipRevision uint64    `json:"set"`
	LogStatus         LogStatus `json:"facts"`
}

// MaxHolders is how many processes a voter grants leases to at once. Those of processes that ended count until they end.
const MaxHolders = 4096

// ErrTooManyLeases is that a voter grants as many leases as it may.
var ErrTooManyLeases = errors.New("the voter grants as many leases as it may; ask again later")

// LeaseTable is a voter's record of the leases that it has granted. It lives in memory: one that starts waits until
// all that an earlier life may have granted is over. Times are on the voter's own clock.
type LeaseTable struct {
	config     LeaseConfig
	quietUntil time.Duration // it clears nothing before
	holders    map[process]*processLeases
}

type process struct{ node, incarnation string }

type processLeases struct {
	epochs, ownership promise
	continuousSince   time.Duration // it has held leases without a gap
}

// NewLeaseTable starts a desk.
func NewLeaseTable(now time.Duration, t LeaseConfig) *LeaseTable {
	return &LeaseTable{config: t, quietUntil: now + t.GranterTerm(), holders: map[process]*processLeases{}}
}

// GrantLease grants a lease up to what the voter has heard of.
func (d *LeaseTable) Grant(now time.Duration, voter uint64, a LeaseRequest, s *State) (Grant, error) {
	key := process{a.Node, a.Incarnation}
	h := d.holders[key]
	if h == nil {
		if len(d.holders) >= MaxHolders {
			if d.removeExpired(now); len(d.holders) >= MaxHolders {
				return Grant{}, ErrTooManyLeases
			}
		}
		h = &processLeases{continuousSince: now}
		d.holders[key] = h
	}
	if h.epochs.end <= now {
		h.continuousSince = now
	}
	end := now + d.config.GranterTerm()
	h.epochs.extend(s.LeaseEpoch(), a.ConfirmedEpoch, end)
	h.ownership.extend(s.OwnershipRevision(a.Node, a.Incarnation), a.ConfirmedOwnership, end)
	return Grant{Voter: voter, Sequence: a.Sequence, MaxEpoch: h.epochs.revision, OwnershipRevision: h.ownership.revision, LogStatus: s.LogStatus()}, nil
}

// LeaseHolders names the processes that hold a lease, once each, in order.
func (d *LeaseTable) Holders(now time.Duration) (list []string) {
	for key, h := range d.holders {
		if h.epochs.end > now {
			list = append(list, key.node)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// removeExpired forgets leases that are over.
func (d *LeaseTable) removeExpired(now time.Duration) {
	for key, h := range d.holders {
		if h.epochs.end <= now {
			delete(d.holders, key)
		}
	}
}

// AcknowledgeEpoch tells whether an epoch may be cleared: nobody who was granted a lease that ends before it still holds one without
// having confirmed it. Else it names those who are waited for.
func (d *LeaseTable) CanAcknowledge(now time.Duration, epoch uint64) (ok bool, waits []string) {
	if now < d.quietUntil {
		return false, []string{"leases of an earlier life"}
	}
	for key, h := range d.holders {
		if !h.epochs.expired(now, epoch) {
			waits = append(waits, key.node)
		}
	}
	slices.Sort(waits)
	return len(waits) == 0, slices.Compact(waits)
}

// ActiveRules is what a node acts on: a version whole, or two that contradict together, each by the stricter of both; or
// neither (Number 0), alone.
type ActiveRules struct {
	Epoch          uint64 `json:"epoch"` // up to which a lease has to go for it
	Version        uint64 `json:"number"`
	PendingVersion uint64 `json:"pending"` // with Number, the stricter of both
}

// String says it as operators read it.
func (r ActiveRules) String() string {
	switch {
	case r.Version == 0:
		return "nothing"
	case r.PendingVersion != 0:
		return fmt.Sprintf("the stricter of %d and %d", r.Version, r.PendingVersion)
	}
	return fmt.Sprint("version ", r.Version)
}

// Lease is a node's side: what it may act on, and for how long, by what voters granted it. The node is asked at the
// moment of each decision and of each send; there is no flag that ages. Times are on the node's own clock, which must
// count the time in which the machine or the process was suspended.
type Lease struct {
	config            LeaseConfig
	voters            int
	logStatus         LogStatus
	confirmedEpoch    uint64
	sequence          uint64
	requestedAt       map[uint64]time.Duration      // when each ask of late was sent
	epochGrants       map[uint64][]activeGrant      // by voter: epochs
	ownershipGrants   map[uint64][]activeGrant      // by voter: sets of works
	ownershipRevision uint64                        // the set that the node acts on
	hasVersion        func(number uint64) (ok bool) // whether the node has a version's content, checked
}

// activeGrant is a grant as its holder counts it.
type activeGrant struct {
	revision uint64
	end      time.Duration
}

// maxOutstandingRequests is how many asks may be unanswered; an answer to an older one counts for nothing.
const maxOutstandingRequests = 64

// NewLease starts a node's side; holds tells which versions it could act on.
func NewLease(t LeaseConfig, voters int, holds func(number uint64) bool) *Lease {
	return &Lease{config: t, voters: voters, hasVersion: holds, requestedAt: map[uint64]time.Duration{}, epochGrants: map[uint64][]activeGrant{}, ownershipGrants: map[uint64][]activeGrant{}}
}

// GrantLease gives the next ask; it counts from now on, so it must not be sent late on purpose.
func (l *Lease) NextRequest(now time.Duration) LeaseRequest {
	l.sequence++
	l.requestedAt[l.sequence] = now
	delete(l.requestedAt, l.sequence-maxOutstandingRequests)
	return LeaseRequest{Sequence: l.sequence, ConfirmedEpoch: l.confirmedEpoch, ConfirmedOwnership: l.ownershipRevision}
}

// HandleGrant takes an answer. One that arrives twice, or late, counts as it would have at its time.
func (l *Lease) HandleGrant(g Grant) {
	l.UpdateLogStatus(g.LogStatus)
	at, known := l.requestedAt[g.Sequence]
	if !known || len(l.epochGrants) >= 2*l.voters && l.epochGrants[g.Voter] == nil {
		return
	}
	end := at + l.config.HolderTerm()
	l.epochGrants[g.Voter] = addGrant(l.epochGrants[g.Voter], g.MaxEpoch, end, l.logStatus.Epoch)
	l.ownershipGrants[g.Voter] = addGrant(l.ownershipGrants[g.Voter], g.OwnershipRevision, end, l.ownershipRevision+1)
}

// addGrant adds a promise to those of a voter. Of those by marks that are past only the latest but one matters.
func addGrant(list []activeGrant, upto uint64, end time.Duration, now uint64) []activeGrant {
	if i := slices.IndexFunc(list, func(x activeGrant) bool { return x.revision == upto }); i >= 0 {
		list[i].end = max(list[i].end, end)
		return list
	}
	list = slices.DeleteFunc(list, func(x activeGrant) bool { return x.revision+1 < now })
	return append(list, activeGrant{upto, end})
}

// UpdateLogStatus takes what a voter says of the log without a promise.
func (l *Lease) UpdateLogStatus(f LogStatus) {
	if f.Index > l.logStatus.Index {
		l.logStatus = f
	}
}

// LogStatus gives the latest that were heard.
func (l *Lease) LogStatus() LogStatus { return l.logStatus }

// countGrants gives how many voters' promises keep epochs past one from being cleared.
func (l *Lease) epochGrantCount(now time.Duration, epoch uint64) (n int) {
	return countGrants(l.epochGrants, now, epoch)
}

func countGrants(grants map[uint64][]activeGrant, now time.Duration, upto uint64) (n int) {
	for _, list := range grants {
		if slices.ContainsFunc(list, func(x activeGrant) bool { return x.revision <= upto && now < x.end }) {
			n++
		}
	}
	return n
}

// DesiredRules gives what the node should act on now, by all that it has heard and holds.
func (l *Lease) DesiredRules(now time.Duration) ActiveRules {
	f := l.logStatus
	whole := ActiveRules{Epoch: f.Epoch, Version: f.ActiveVersion}
	joint := ActiveRules{Epoch: f.Epoch + 1, Version: f.ActiveVersion, PendingVersion: f.PendingVersion}
	switch {
	case f.ActiveVersion == 0:
	case f.PendingVersion != 0 && l.hasVersion(f.PendingVersion) && l.hasVersion(f.ActiveVersion) && l.Permits(now, joint):
		return joint
	case l.hasVersion(f.ActiveVersion) && l.Permits(now, whole):
		return whole
	}
	return ActiveRules{}
}

// Permits tells whether the node may act on rules at this moment.
func (l *Lease) Permits(now time.Duration, r ActiveRules) bool {
	return r.Version != 0 && r.Epoch >= l.confirmedEpoch && l.epochGrantCount(now, r.Epoch) > l.voters/2
}

// ConfirmRules says that the node acts on rules from now on, and on nothing earlier any more; the next ask confirms it.
func (l *Lease) ConfirmRules(r ActiveRules) { l.confirmedEpoch = max(l.confirmedEpoch, r.Epoch) }

// ConfirmOwnership says that the node acts as the owner by a set of works from now on, and by none before; the next ask confirms it.
func (l *Lease) ConfirmOwnership(set uint64) { l.ownershipRevision = max(l.ownershipRevision, set) }

// PermitsOwnership tells whether the node may act at this moment as the owner of the works of the set that it took last.
func (l *Lease) PermitsOwnership(now time.Duration) bool {
	return l.ownershipRevision > 0 && countGrants(l.ownershipGrants, now, l.ownershipRevision) > l.voters/2
}

// Remaining is how long the node may go on acting on rules if it hears nothing more.
func (l *Lease) Remaining(now time.Duration, r ActiveRules) time.Duration {
	if r.Version == 0 {
		return 0
	}
	return l.remaining(l.epochGrants, now, r.Epoch)
}

// OwnershipRemaining is how long it may go on acting as the owner of its works.
func (l *Lease) OwnershipRemaining(now time.Duration) time.Duration {
	return l.remaining(l.ownershipGrants, now, l.ownershipRevision)
}

func (l *Lease) remaining(grants map[uint64][]activeGrant, now time.Duration, upto uint64) time.Duration {
	var ends []time.Duration
	for _, list := range grants {
		best := time.Duration(0)
		for _, x := range list {
			if x.revision <= upto {
				best = max(best, x.end)
			}
		}
		ends = append(ends, best)
	}
	slices.Sort(ends)
	if need := l.voters/2 + 1; len(ends) >= need {
		return max(0, ends[len(ends)-need]-now)
	}
	return 0
}
