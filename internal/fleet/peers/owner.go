package peers

import (
	"context"
	"sync"

	"yokestall/internal/fleet/agree"
)

// ReleaseTask takes servers out and back in waves.
const ReleaseTask = "release"

// singletonTasks are those that the fleet gives owners. Owners are voters: they are asked by all others already.
func singletonTasks() []string { return []string{ReleaseTask} }

// ownership is what this process owns.
type ownership struct {
	mu       sync.Mutex
	tokens   map[string]uint64 // tokens by work, of the set that was taken last
	revision uint64
}

// applyOwnership takes up the works that the log says are this process's, and drops those that are no more.
func (n *Node) applyOwnership() {
	s := n.state()
	if s == nil {
		return
	}
	n.ownership.mu.Lock()
	set := s.OwnershipRevision(n.Name, n.incarnation)
	if set <= n.ownership.revision {
		n.ownership.mu.Unlock()
		return
	}
	n.ownership.revision, n.ownership.tokens = set, s.OwnedTasks(n.Name, n.incarnation)
	owned := len(n.ownership.tokens)
	n.ownership.mu.Unlock()
	n.leaseMu.Lock()
	n.lease.ConfirmOwnership(set)
	n.leaseMu.Unlock()
	n.Log.Info("owns", "works", owned, "set", set, "boot", int64(BootTime()))
	n.renewLeasesNow() // confirms
}

// Owns gives the token by which this process may act, at this moment, as the owner of a work.
func (n *Node) Owns(work string) (token uint64, ok bool) {
	n.ownership.mu.Lock()
	token, ok = n.ownership.tokens[work]
	n.ownership.mu.Unlock()
	if !ok {
		return 0, false
	}
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	return token, n.lease.PermitsOwnership(n.Clock())
}

// OwnershipQuery asks whether a node owns a work, and answers by which token; 0: it doesn't, or may not act.
type OwnershipQuery struct {
	Task  string `json:"work"`
	Token uint64 `json:"token"`
}

func (n *Node) serveOwnership(_ context.Context, in *OwnershipQuery) (*OwnershipQuery, error) {
	out := &OwnershipQuery{Task: in.Task}
	if token, ok := n.Owns(in.Task); ok {
		out.Token = token
	}
	return out, nil
}

// TaskStatus is a work as a voter knows it.
type TaskStatus struct {
	Task        string `json:"work"`
	Owner       string `json:"owner"`
	Token       uint64 `json:"token"`
	NextOwner   string `json:"leaving,omitempty"` // it is to be this node's
	Active      bool   `json:"acts"`              // the asked node owns it, and has the lease to act
	LeaseLeftMs int64  `json:"left_ms,omitempty"`
}

// taskStatuses lists the works for a status; n.mu is not held.
func (n *Node) taskStatuses(s *agree.State) (list []TaskStatus) {
	for _, name := range singletonTasks() {
		w := s.Tasks[name]
		o := TaskStatus{Task: name, Owner: w.Owner, Token: w.Token}
		if w.TransferIndex != 0 {
			o.NextOwner = w.NextOwner
		}
		if token, ok := n.Owns(name); ok && token == w.Token {
			o.Active = true
			n.leaseMu.Lock()
			o.LeaseLeftMs = n.lease.OwnershipRemaining(n.Clock()).Milliseconds()
			n.leaseMu.Unlock()
		}
		list = append(list, o)
	}
	return list
}
