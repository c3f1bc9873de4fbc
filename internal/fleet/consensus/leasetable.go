package consensus

import (
	"errors"
	"slices"
	"time"
)

// MaxHolders is how many processes a voter grants leases to at once. A process that has ended counts until its lease
// expires.
const MaxHolders = 4096

// waitingForEarlierLeases stands in a list of nodes for the leases that a voter granted before it was restarted.
const waitingForEarlierLeases = "leases granted before the voter's restart"

// ErrTooManyLeases is returned by a voter that has granted leases to MaxHolders processes.
var ErrTooManyLeases = errors.New("lease not granted: the voter has granted as many leases as it may; retry later")

// LeaseTable records the leases that a voter has granted. The table is in memory only: after a restart the voter
// acknowledges nothing until every lease that it may have granted before has expired. Times are on the voter's own
// clock.
type LeaseTable struct {
	config LeaseConfig
	// Until quietUntil, the voter acknowledges no epoch, confirms no end of an ownership and assigns no tasks.
	quietUntil time.Duration
	holders    map[process]*processLeases // MaxHolders at most
}

// process identifies a process of a node.
type process struct{ node, incarnation string }

// processLeases are the grants to one process.
type processLeases struct {
	epochs, ownership grantRecord
	continuousSince   time.Duration // time since which the process has had leases without a gap
}

// grantRecord sums up a voter's grants of one kind, for epochs or ownership, to one process.
type grantRecord struct {
	revision   uint64        // smallest revision that the latest grant covers: see Grant
	end        time.Duration // end of the latest grant
	earlierEnd time.Duration // end of the latest grant that covers an earlier revision
	confirmed  uint64        // the process no longer acts on anything before this revision
}

// NewLeaseTable creates the table of a voter that has just been started.
func NewLeaseTable(now time.Duration, config LeaseConfig) *LeaseTable {
	return &LeaseTable{config: config, quietUntil: now + config.GranterTerm(), holders: map[process]*processLeases{}}
}

// Grant grants a lease for the voter's latest state and records what the request confirms.
func (t *LeaseTable) Grant(now time.Duration, voter uint64, request LeaseRequest, s *State) (Grant, error) {
	leases, err := t.leasesOf(now, process{request.Node, request.Incarnation})
	if err != nil {
		return Grant{}, err
	}
	if leases.epochs.end <= now {
		leases.continuousSince = now
	}
	end := now + t.config.GranterTerm()
	leases.epochs.extend(s.LeaseEpoch(), request.ConfirmedEpoch, end)
	leases.ownership.extend(s.OwnershipRevision(request.Node, request.Incarnation), request.ConfirmedOwnership, end)
	return Grant{
		VoterID: voter, Sequence: request.Sequence, LogStatus: s.LogStatus(),
		MinCoveredEpoch: leases.epochs.revision, OwnershipRevision: leases.ownership.revision,
	}, nil
}

// leasesOf returns the record of a process and creates it if there is none.
func (t *LeaseTable) leasesOf(now time.Duration, p process) (*processLeases, error) {
	if leases := t.holders[p]; leases != nil {
		return leases, nil
	}
	if len(t.holders) >= MaxHolders {
		t.removeExpired(now)
	}
	if len(t.holders) >= MaxHolders {
		return nil, ErrTooManyLeases
	}
	leases := &processLeases{continuousSince: now}
	t.holders[p] = leases
	return leases, nil
}

// removeExpired removes the records of processes whose leases have expired.
func (t *LeaseTable) removeExpired(now time.Duration) {
	for p, leases := range t.holders {
		if leases.epochs.end <= now {
			delete(t.holders, p)
		}
	}
}

// Holders returns the names of the nodes that hold a lease, sorted.
func (t *LeaseTable) Holders(now time.Duration) (nodes []string) {
	for p, leases := range t.holders {
		if leases.epochs.end > now {
			nodes = append(nodes, p.node)
		}
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// CanAcknowledge reports whether every process that this voter granted a lease has stopped acting on epochs before the
// given one. If not, it returns the nodes whose processes may still act on them.
func (t *LeaseTable) CanAcknowledge(now time.Duration, epoch uint64) (ok bool, waitingFor []string) {
	if now < t.quietUntil {
		return false, []string{waitingForEarlierLeases}
	}
	for p, leases := range t.holders {
		if !leases.epochs.expired(now, epoch) {
			waitingFor = append(waitingFor, p.node)
		}
	}
	slices.Sort(waitingFor)
	return len(waitingFor) == 0, slices.Compact(waitingFor)
}

// FormerOwnerEnded reports whether the owner of a task that is being moved can no longer act as its owner by leases of
// this voter.
func (t *LeaseTable) FormerOwnerEnded(now time.Duration, task TaskOwnership) bool {
	if now < t.quietUntil {
		return false
	}
	leases := t.holders[process{task.Owner, task.Incarnation}]
	return leases == nil || leases.ownership.expired(now, task.TransferIndex)
}

// LiveProcess is a process that holds a lease.
type LiveProcess struct {
	Incarnation string
	Since       time.Duration // time since which the process has had leases without a gap
}

// LiveProcesses returns, by node, the process that holds a lease. If several processes of a node hold one, the process
// with the latest Since is returned.
func (t *LeaseTable) LiveProcesses(now time.Duration) map[string]LiveProcess {
	live := map[string]LiveProcess{}
	for p, leases := range t.holders {
		if leases.epochs.end <= now {
			continue
		}
		if other, known := live[p.node]; !known || leases.continuousSince > other.Since {
			live[p.node] = LiveProcess{p.incarnation, leases.continuousSince}
		}
	}
	return live
}

// extend records a grant. A grant that covers only later revisions doesn't extend the grants for earlier ones.
func (r *grantRecord) extend(revision, confirmed uint64, end time.Duration) {
	r.confirmed = max(r.confirmed, confirmed)
	if revision > r.revision {
		r.revision, r.earlierEnd = revision, max(r.earlierEnd, r.end)
	}
	r.end = end
}

// expired reports whether the process can no longer act on revisions before the given one: it has confirmed so, or its
// grants have expired.
func (r *grantRecord) expired(now time.Duration, revision uint64) bool {
	end := r.earlierEnd
	if r.revision < revision {
		end = r.end
	}
	return r.confirmed >= revision || now >= end
}
