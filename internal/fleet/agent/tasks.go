package agent

import (
	"context"
	"sync"

	"yokestall/internal/fleet/consensus"
)

// ReleaseTask is the singleton task that carries out releases.
const ReleaseTask = "release"

// singletonTasks returns the tasks that one node at a time runs for the fleet. Only voters may own them
// (EligibleOwners in loadVoter): every node is connected to each voter, and so can reach the owner.
func singletonTasks() []string { return []string{ReleaseTask} }

// ownership records the tasks that the log assigns to this process. Owns also checks the lease.
type ownership struct {
	mu       sync.Mutex        // guards tokens and revision
	tokens   map[string]uint64 // fencing tokens of the tasks, by task
	revision uint64            // index of the log at which tokens last changed
}

// applyOwnership takes over the tasks that the log newly assigns to this process, gives up the tasks that the log no
// longer assigns to it, and confirms the change to the voters.
func (n *Node) applyOwnership() {
	s := n.state()
	if s == nil {
		return
	}
	n.ownership.mu.Lock()
	revision := s.OwnershipRevision(n.Name, n.incarnation)
	if revision <= n.ownership.revision {
		n.ownership.mu.Unlock()
		return
	}
	n.ownership.revision, n.ownership.tokens = revision, s.OwnedTasks(n.Name, n.incarnation)
	owned := len(n.ownership.tokens)
	n.ownership.mu.Unlock()
	n.leaseMu.Lock()
	n.lease.ConfirmOwnership(revision)
	n.leaseMu.Unlock()
	n.Log.Info("task ownership changed", "tasks", owned, "revision", revision, "boot_time_ns", int64(BootTime()))
	n.renewLeasesNow() // sends the confirmation to the voters
}

// Owns returns the fencing token of a task, and whether this process may act as the task's owner at this moment. The
// result must not be kept: the lease may expire at any time.
func (n *Node) Owns(task string) (token uint64, ok bool) {
	n.ownership.mu.Lock()
	token, ok = n.ownership.tokens[task]
	n.ownership.mu.Unlock()
	if !ok {
		return 0, false
	}
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	return token, n.lease.PermitsOwnership(n.Clock())
}

// OwnershipQuery asks whether a node owns a task. The reply is the same message with the fencing token; the token is 0 if
// the node does not own the task, or has no lease for it.
type OwnershipQuery struct {
	Task  string `json:"work"`
	Token uint64 `json:"token"`
}

func (n *Node) serveOwnership(_ context.Context, query *OwnershipQuery) (*OwnershipQuery, error) {
	reply := &OwnershipQuery{Task: query.Task}
	if token, ok := n.Owns(query.Task); ok {
		reply.Token = token
	}
	return reply, nil
}

// TaskStatus is the status of a singleton task according to one voter.
type TaskStatus struct {
	Task        string `json:"work"`
	Owner       string `json:"owner"`
	Token       uint64 `json:"token"`
	NextOwner   string `json:"leaving,omitempty"` // node to which the task is being moved; "": it is not moved
	Active      bool   `json:"acts"`              // the voter itself owns the task and has a lease for it
	LeaseLeftMs int64  `json:"left_ms,omitempty"` // milliseconds left of that lease if Active, else 0
}

// taskStatuses returns the status of all tasks; n.mu must not be held.
func (n *Node) taskStatuses(s *consensus.State) (statuses []TaskStatus) {
	for _, name := range singletonTasks() {
		task := s.Tasks[name]
		status := TaskStatus{Task: name, Owner: task.Owner, Token: task.Token}
		if task.TransferIndex != 0 {
			status.NextOwner = task.NextOwner
		}
		if token, ok := n.Owns(name); ok && token == task.Token {
			status.Active = true
			n.leaseMu.Lock()
			status.LeaseLeftMs = n.lease.OwnershipRemaining(n.Clock()).Milliseconds()
			n.leaseMu.Unlock()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
