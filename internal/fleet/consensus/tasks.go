package consensus

import (
	"fmt"
	"maps"
	"slices"
)

// MaxTasks is the largest number of singleton tasks of a fleet.
const MaxTasks = 1024

// maxOwnershipRevisions is how many ownership revisions the state may have before it drops those of processes without
// tasks. It also bounds Voter.recentProposals.
const maxOwnershipRevisions = 4 * MaxTasks

// TaskOwnership says which node runs a singleton task.
type TaskOwnership struct {
	Owner       string `json:"owner"` // name of the node; empty: none
	Incarnation string `json:"life"`  // incarnation of the owner's process
	Token       uint64 `json:"token"` // fencing token: the log index of the ownership's start, so that tokens only grow
	// TransferIndex is the log index at which the move of the task to NextOwner began; 0 if the task is not being moved.
	TransferIndex   uint64   `json:"asked,omitempty"`
	NextOwner       string   `json:"next,omitempty"`
	NextIncarnation string   `json:"next_life,omitempty"`
	EndConfirmedBy  []uint64 `json:"freed,omitempty"` // voters that have confirmed the end of the ownership, ascending
}

// isOwner reports whether a process owns the task. A task that is being moved still has its earlier owner.
func (t TaskOwnership) isOwner(node, incarnation string) bool {
	return t.Owner == node && t.Incarnation == incarnation
}

// TaskAssignment gives a task to a process of a node, unless the task's token is no longer ExpectedToken.
type TaskAssignment struct {
	Task          string `json:"work"`
	Node          string `json:"node"`
	Incarnation   string `json:"life"`
	ExpectedToken uint64 `json:"seen"`
}

// check validates the names in an assignment.
func (a *TaskAssignment) check() error {
	if a.Task == "" || a.Node == "" ||
		len(a.Task) > MaxNameBytes || len(a.Node) > MaxNameBytes || len(a.Incarnation) > MaxNameBytes {
		return fmt.Errorf("task assignment: task and node must have 1 to %d bytes, incarnation at most as many", MaxNameBytes)
	}
	return nil
}

// OwnershipEnd is a voter's confirmation that the owner of a task that is being moved can no longer act as its owner by
// leases of this voter.
type OwnershipEnd struct {
	Task          string `json:"work"`
	TransferIndex uint64 `json:"asked"`
	VoterID       uint64 `json:"voter"`
}

// processKey identifies a process in the state.
func processKey(node, incarnation string) string { return node + "\x00" + incarnation }

// OwnershipRevision returns the log index at which the tasks of a process changed last; 0 if the process has had none.
// Grants cover ownership revisions: see Grant.
func (s *State) OwnershipRevision(node, incarnation string) uint64 {
	return s.OwnershipRevisions[processKey(node, incarnation)]
}

// OwnedTasks returns the tokens of a process's tasks by task, without tasks that are being moved to another process.
func (s *State) OwnedTasks(node, incarnation string) map[string]uint64 {
	tokens := map[string]uint64{}
	for name, task := range s.Tasks {
		if task.isOwner(node, incarnation) && task.TransferIndex == 0 {
			tokens[name] = task.Token
		}
	}
	return tokens
}

// assignTask gives a task without an owner to a process, or starts to move a task from another owner to the process.
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

// confirmOwnershipEnd records a voter's confirmation that the owner of a task that is being moved can no longer act as its
// owner. The confirmations of a majority make the next owner the owner.
func (s *State) confirmOwnershipEnd(index uint64, end *OwnershipEnd, voters int) {
	task, known := s.Tasks[end.Task]
	if !known || task.TransferIndex == 0 || task.TransferIndex != end.TransferIndex {
		return
	}
	at, recorded := slices.BinarySearch(task.EndConfirmedBy, end.VoterID)
	if recorded {
		return
	}
	task.EndConfirmedBy = slices.Insert(slices.Clone(task.EndConfirmedBy), at, end.VoterID)
	if len(task.EndConfirmedBy) >= QuorumSize(voters) {
		task = TaskOwnership{Owner: task.NextOwner, Incarnation: task.NextIncarnation, Token: index}
		s.OwnershipRevisions[processKey(task.Owner, task.Incarnation)] = index
		s.pruneOwnershipRevisions()
	}
	s.Tasks[end.Task] = task
}

// pruneOwnershipRevisions drops the revisions of processes that neither own a task nor are next to own one, once there
// are maxOwnershipRevisions.
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
