package consensus

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

// MaxTasks is the largest number of singleton tasks of a fleet.
const MaxTasks = 1024

// maxOwnershipRevisions is how many revisions the state keeps before it drops those of processes without tasks.
const maxOwnershipRevisions = 4 * MaxTasks

// TaskOwnership says which node runs a singleton task. The token is a fencing token: an index of the log, so that it
// only grows.
type TaskOwnership struct {
	Owner       string `json:"owner"` // node; "": nobody
	Incarnation string `json:"life"`  // of the node's process
	Token       uint64 `json:"token"`
	// TransferIndex is the index of the log from which on the task is moved to NextOwner; 0: it is not moved.
	TransferIndex   uint64   `json:"asked,omitempty"`
	NextOwner       string   `json:"next,omitempty"`
	NextIncarnation string   `json:"next_life,omitempty"`
	ReleasedBy      []uint64 `json:"freed,omitempty"` // voters that say that the old owner no longer acts as such
}

// isOwner reports whether a process owns the task, or did until it is moved.
func (t TaskOwnership) isOwner(node, incarnation string) bool {
	return t.Owner == node && t.Incarnation == incarnation
}

// TaskAssignment gives a task to a node, unless its token is no longer ExpectedToken.
type TaskAssignment struct {
	Task          string `json:"work"`
	Node          string `json:"node"`
	Incarnation   string `json:"life"`
	ExpectedToken uint64 `json:"seen"`
}

// check validates the names in an assignment.
func (a *TaskAssignment) check() error {
	if a.Task == "" || a.Node == "" || len(a.Task) > MaxName || len(a.Node) > MaxName || len(a.Incarnation) > MaxName {
		return fmt.Errorf("own: a work, a node and a life of at most %d bytes", MaxName)
	}
	return nil
}

// TaskRelease is a voter's word that the former owner of a task no longer acts as its owner, by the leases that this
// voter granted.
type TaskRelease struct {
	Task          string `json:"work"`
	TransferIndex uint64 `json:"asked"`
	Voter         uint64 `json:"voter"`
}

// processKey identifies a process in the state.
func processKey(node, incarnation string) string { return node + "\x00" + incarnation }

// OwnershipRevision returns the index of the log at which the tasks of a process changed last. Leases for ownership
// cover a revision.
func (s *State) OwnershipRevision(node, incarnation string) uint64 {
	return s.OwnershipRevisions[processKey(node, incarnation)]
}

// OwnedTasks returns the tasks of a process with their tokens, without those that are moved to another.
func (s *State) OwnedTasks(node, incarnation string) map[string]uint64 {
	tokens := map[string]uint64{}
	for name, task := range s.Tasks {
		if task.isOwner(node, incarnation) && task.TransferIndex == 0 {
			tokens[name] = task.Token
		}
	}
	return tokens
}

func (s *State) assignTask(index uint64, a *TaskAssignment) {
	task, known := s.Tasks[a.Task]
	switch {
	case !known && len(s.Tasks) >= MaxTasks, task.Token != a.ExpectedToken, task.TransferIndex != 0:
		return
	case known && task.isOwner(a.Node, a.Incarnation):
		return
	}
	if s.Tasks == nil {
		s.Tasks, s.OwnershipRevisions = map[string]TaskOwnership{}, map[string]uint64{}
	}
	if task.Owner == "" {
		s.Tasks[a.Task] = TaskOwnership{Owner: a.Node, Incarnation: a.Incarnation, Token: index}
		s.OwnershipRevisions[processKey(a.Node, a.Incarnation)] = index
		return
	}
	task.TransferIndex, task.NextOwner, task.NextIncarnation = index, a.Node, a.Incarnation
	s.Tasks[a.Task] = task
	s.OwnershipRevisions[processKey(task.Owner, task.Incarnation)] = index
}

func (s *State) releaseTask(index uint64, r *TaskRelease, voters int) {
	task, known := s.Tasks[r.Task]
	if !known || task.TransferIndex == 0 || task.TransferIndex != r.TransferIndex {
		return
	}
	at, released := slices.BinarySearch(task.ReleasedBy, r.Voter)
	if released {
		return
	}
	task.ReleasedBy = slices.Insert(slices.Clone(task.ReleasedBy), at, r.Voter)
	if len(task.ReleasedBy) > voters/2 {
		task = TaskOwnership{Owner: task.NextOwner, Incarnation: task.NextIncarnation, Token: index}
		s.OwnershipRevisions[processKey(task.Owner, task.Incarnation)] = index
		s.pruneOwnershipRevisions()
	}
	s.Tasks[r.Task] = task
}

// pruneOwnershipRevisions drops the revisions of processes that neither own a task nor are to own one.
func (s *State) pruneOwnershipRevisions() {
	if len(s.OwnershipRevisions) < maxOwnershipRevisions {
		return
	}
	used := map[string]bool{}
	for _, task := range s.Tasks {
		used[processKey(task.Owner, task.Incarnation)] = true
		used[processKey(task.NextOwner, task.NextIncarnation)] = true
	}
	maps.DeleteFunc(s.OwnershipRevisions, func(key string, _ uint64) bool { return !used[key] })
}

const (
	leasesBeforeOwning    = 2  // leases' durations for which a node has to hold leases without a gap before it owns a task
	maxAssignmentsPerTick = 8  // so that the takeover of many tasks is spread over time
	proposalRetryTicks    = 10 // after which a proposal that the log doesn't show is repeated
)

// ChooseOwner returns the process that should own a task, by rendezvous hashing over the eligible nodes that have
// held leases for long enough: a node that fails moves no tasks but its own.
func ChooseOwner(task string, live map[string]LiveProcess, eligible []string, now, minHeld time.Duration) (node, incarnation string) {
	best := uint64(0)
	for _, name := range eligible {
		p, isLive := live[name]
		if !isLive || now-p.Since < minHeld {
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

// manageTasks proposes what this voter has to say on the owners of tasks.
func (v *Voter) manageTasks(now time.Duration) {
	v.releaseTasks(now)
	if v.Leader() == v.ID && now >= v.leases.quietUntil {
		v.assignTasks(now)
	}
}

// releaseTasks tells the log of tasks that are moved and whose former owner no longer acts on a lease of this voter.
func (v *Voter) releaseTasks(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(v.state.Tasks)) {
		task := v.state.Tasks[name]
		if task.TransferIndex == 0 || slices.Contains(task.ReleasedBy, v.ID) {
			continue
		}
		if v.shouldPropose("free "+name, task.TransferIndex) && v.leases.CanRelease(now, task) {
			v.Propose(&Entry{TaskRelease: &TaskRelease{Task: name, TransferIndex: task.TransferIndex, Voter: v.ID}})
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
		v.Propose(&Entry{Assignment: &TaskAssignment{Task: name, Node: node, Incarnation: incarnation, ExpectedToken: task.Token}})
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
func (v *Voter) shouldPropose(what string, revision uint64) bool {
	last, known := v.recentProposals[what]
	if known && last.revision == revision && v.ticks-last.tick < proposalRetryTicks {
		return false
	}
	if v.recentProposals == nil || len(v.recentProposals) > maxOwnershipRevisions {
		v.recentProposals = map[string]recentProposal{}
	}
	v.recentProposals[what] = recentProposal{revision, v.ticks}
	return true
}
