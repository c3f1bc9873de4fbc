package consensus

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// leasesBeforeOwning is how long a node must have held leases without a gap before it can own a task, as a multiple of
	// the lease duration.
	leasesBeforeOwning = 2
	// maxAssignmentsPerTick bounds the assignments that the leader proposes in one tick, which spreads the takeover of many
	// tasks over time.
	maxAssignmentsPerTick = 8
	// proposalRetryTicks is the number of ticks (see Tick) after which a proposal that is not in the log yet is repeated:
	// 300 ms.
	proposalRetryTicks = 10
)

// ChooseOwner returns the process that should own a task, by rendezvous hashing over the eligible nodes that have had
// leases without a gap for minLeaseAge. With rendezvous hashing, the failure of a node moves only the tasks of that
// node. If no node qualifies, ChooseOwner returns empty strings.
func ChooseOwner(
	task string, live map[string]LiveProcess, eligible []string, now, minLeaseAge time.Duration,
) (node, incarnation string) {
	best := uint64(0)
	for _, name := range eligible {
		p, isLive := live[name]
		if !isLive || now-p.Since < minLeaseAge {
			continue
		}
		if score := ownerScore(name, task); node == "" || score > best || score == best && cmp.Less(name, node) {
			best, node, incarnation = score, name, p.Incarnation
		}
	}
	return node, incarnation
}

// ownerScore returns the rendezvous hash of a node and a task.
func ownerScore(node, task string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, node)
	h.Write([]byte{0})
	io.WriteString(h, task)
	return splitMix64(h.Sum64())
}

// splitMix64 applies the finalizer of SplitMix64, which spreads a difference in a hash's low bits over all of its bits.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// manageTasks proposes the ends of ownership that this voter can confirm and, if this voter is the leader, new
// assignments.
func (v *Voter) manageTasks(now time.Duration) {
	v.proposeOwnershipEnds(now)
	if v.Leader() == v.ID && now >= v.leases.quietUntil {
		v.assignTasks(now)
	}
}

// proposeOwnershipEnds proposes an OwnershipEnd for each task that is being moved and whose owner can no longer act as its
// owner by leases of this voter.
func (v *Voter) proposeOwnershipEnds(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(v.state.Tasks)) {
		task := v.state.Tasks[name]
		if task.TransferIndex == 0 || slices.Contains(task.EndConfirmedBy, v.ID) {
			continue
		}
		if v.shouldPropose("ownership end of "+name, task.TransferIndex) && v.leases.FormerOwnerEnded(now, task) {
			v.Propose(&Entry{OwnershipEnd: &OwnershipEnd{Task: name, TransferIndex: task.TransferIndex, VoterID: v.ID}})
		}
	}
}

// assignTasks proposes assignments for tasks that have no owner or whose owner holds no lease.
func (v *Voter) assignTasks(now time.Duration) {
	if len(v.Tasks) == 0 {
		return
	}
	live := v.leases.LiveProcesses(now)
	assigned := 0
	for _, name := range v.Tasks {
		task := v.state.Tasks[name]
		owner, isLive := live[task.Owner]
		if task.TransferIndex != 0 || isLive && owner.Incarnation == task.Incarnation {
			continue
		}
		node, incarnation := ChooseOwner(name, live, v.EligibleOwners, now, leasesBeforeOwning*v.leases.config.Duration)
		if node == "" || !v.shouldPropose("assignment of "+name, task.Token) {
			continue
		}
		v.Propose(&Entry{Assignment: &TaskAssignment{
			Task: name, Node: node, Incarnation: incarnation, ExpectedToken: task.Token,
		}})
		if assigned++; assigned == maxAssignmentsPerTick {
			return
		}
	}
}

// recentProposal records the latest proposal about a subject.
type recentProposal struct {
	revision uint64 // revision of the subject at that time
	tick     int    // value of Voter.ticks at that time
}

// shouldPropose reports whether the latest proposal about a subject was for another revision of the subject or at least
// proposalRetryTicks ago. If so, it records that a proposal is made now.
func (v *Voter) shouldPropose(subject string, revision uint64) bool {
	last, known := v.recentProposals[subject]
	if known && last.revision == revision && v.ticks-last.tick < proposalRetryTicks {
		return false
	}
	if v.recentProposals == nil || len(v.recentProposals) > maxOwnershipRevisions {
		v.recentProposals = map[string]recentProposal{}
	}
	v.recentProposals[subject] = recentProposal{revision, v.ticks}
	return true
}
