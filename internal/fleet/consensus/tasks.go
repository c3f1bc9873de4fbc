package consensus

import (
	"fmt"
	"maps"
	"slices"
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
	EndConfirmedBy  []uint64 `json:"freed,omitempty"` // voters that say that the old owner no longer acts as such
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
		return fmt.Errorf("assignment: task and node of 1 to %d bytes, incarnation of at most as many", MaxName)
	}
	return nil
}

// OwnershipEnd is a voter's statement that the former owner of a task no longer acts as its owner, by the leases that
// this voter granted.
type OwnershipEnd struct {
	Task          string `json:"work"`
	TransferIndex uint64 `json:"asked"`
	VoterID       uint64 `json:"voter"`
}

// processKey identifies a process in the state.
func processKey(node, incarnation string) string { return node + "\x00" + incarnation }

// OwnershipRevision returns the index of the log at which the tasks of a process changed last. Leases for ownership
// cover a revision: see Grant.
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

// assignTask gives a task without an owner to a process, and starts to move one that has another owner.
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

// confirmOwnershipEnd records that a voter confirms the end of the former ownership of a task that is moved. The
// confirmations of a majority make the next owner the owner.
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
