package agent

import (
	"context"
	"sync"

	"yokestall/internal/fleet/consensus"
)

// ReleaseTask is the singleton task that carries out releases.
const ReleaseTask = "release"

// singletonTasks returns the tasks that one node at a time runs for the fleet. Their owners are voters, with which
// every node has a connection anyway.
func singletonTasks() []string { return []string{ReleaseTask} }

// ownership is the tasks that this process owns.
type ownership struct {
	mu       sync.Mutex        // guards tokens and revision
	tokens   map[string]uint64 // fencing tokens by task
	revision uint64            // index of the log at which tokens changed last
}

// applyOwnership takes over the tasks that the log assigns to this process, and gives up those that it doesn't any
// more.
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

// Owns returns the fencing token of a task, and whether this process may act as its owner at this moment.
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

// OwnershipQuery is a query whether a node owns a task. The reply is the same message with the token set; 0: the node
// doesn't own it, or has no lease.
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

// TaskStatus is a singleton task as a voter sees it.
type TaskStatus struct {
	Task        string `json:"work"`
	Owner       string `json:"owner"`
	Token       uint64 `json:"token"`
	NextOwner   string `json:"leaving,omitempty"` // to which the task is moved
	Active      bool   `json:"acts"`              // the voter itself is the owner and has a lease for it
	LeaseLeftMs int64  `json:"left_ms,omitempty"` // of an active owner
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
