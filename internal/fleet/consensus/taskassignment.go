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
	// leasesBeforeOwning is for how many leases' durations a node has to have leases without a gap before it owns a task.
	leasesBeforeOwning = 2
	// maxAssignmentsPerTick spreads the takeover of many tasks over time.
	maxAssignmentsPerTick = 8
	// proposalRetryTicks is after how many ticks (see Tick) a proposal that the log doesn't show is repeated: 300 ms.
	proposalRetryTicks = 10
)

// ChooseOwner returns the process that should own a task, by rendezvous hashing over the eligible nodes that have had
// leases without a gap for minLeaseAge: a node that fails moves no tasks but its own. It returns empty strings if there
// is none.
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

// ownerScore is the rendezvous hash of a node and a task.
func ownerScore(node, task string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, node)
	h.Write([]byte{0})
	io.WriteString(h, task)
	return splitMix64(h.Sum64())
}

// splitMix64 is the finalizer of SplitMix64: it spreads a difference in a hash's low bits over all of its bits.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// manageTasks proposes the ends of ownership that this voter can confirm and, at the leader, new assignments.
func (v *Voter) manageTasks(now time.Duration) {
	v.proposeOwnershipEnds(now)
	if v.Leader() == v.ID && now >= v.leases.quietUntil {
		v.assignTasks(now)
	}
}

// proposeOwnershipEnds proposes an OwnershipEnd for each task that is moved and whose former owner no longer acts on a
// lease of this voter.
func (v *Voter) proposeOwnershipEnds(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(v.state.Tasks)) {
		task := v.state.Tasks[name]
		if task.TransferIndex == 0 || slices.Contains(task.EndConfirmedBy, v.ID) {
			continue
		}
		if v.shouldPropose("free "+name, task.TransferIndex) && v.leases.FormerOwnerEnded(now, task) {
			v.Propose(&Entry{OwnershipEnd: &OwnershipEnd{Task: name, TransferIndex: task.TransferIndex, VoterID: v.ID}})
		}
	}
}

// assignTasks gives tasks without an owner, or whose owner holds no lease, to other nodes.
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
		if node == "" || !v.shouldPropose("own "+name, task.Token) {
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

// recentProposal is when something was proposed last, and at which state of its subject.
type recentProposal struct {
	revision uint64
	tick     int
}

// shouldPropose reports whether something has not been proposed within the last ticks for the same revision of its
// subject, and records that it is proposed now.
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
