package peers

import (
	"context"
	"sync"

	"yokestall/internal/fleet/agree"
)

// ReleaseWork takes servers out and back in waves.
const ReleaseWork = "release"

// works are those that the fleet gives owners. Owners are voters: they are asked by all others already.
func works() []string { return []string{ReleaseWork} }

// ownership is what this process owns.
type ownership struct {
	mu    sync.Mutex
	owned map[string]uint64 // tokens by work, of the set that was taken last
	set   uint64
}

// takeSet takes up the works that the log says are this process's, and drops those that are no more.
func (n *Node) takeSet() {
	s := n.state()
	if s == nil {
		return
	}
	n.works.mu.Lock()
	set := s.Set(n.Name, n.life)
	if set <= n.works.set {
		n.works.mu.Unlock()
		return
	}
	n.works.set, n.works.owned = set, s.Owned(n.Name, n.life)
	owned := len(n.works.owned)
	n.works.mu.Unlock()
	n.leaseMu.Lock()
	n.lease.TookSet(set)
	n.leaseMu.Unlock()
	n.Log.Info("owns", "works", owned, "set", set, "boot", int64(BootTime()))
	n.asks() // confirms
}

// Owns gives the token by which this process may act, at this moment, as the owner of a work.
func (n *Node) Owns(work string) (token uint64, ok bool) {
	n.works.mu.Lock()
	token, ok = n.works.owned[work]
	n.works.mu.Unlock()
	if !ok {
		return 0, false
	}
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	return token, n.lease.MayOwn(n.Clock())
}

// Owned asks whether a node owns a work, and answers by which token; 0: it doesn't, or may not act.
type Owned struct {
	Work  string `json:"work"`
	Token uint64 `json:"token"`
}

func (n *Node) owns(_ context.Context, in *Owned) (*Owned, error) {
	out := &Owned{Work: in.Work}
	if token, ok := n.Owns(in.Work); ok {
		out.Token = token
	}
	return out, nil
}

// OwnerStatus is a work as a voter knows it.
type OwnerStatus struct {
	Work    string `json:"work"`
	Owner   string `json:"owner"`
	Token   uint64 `json:"token"`
	Leaving string `json:"leaving,omitempty"` // it is to be this node's
	Acts    bool   `json:"acts"`              // the asked node owns it, and has the lease to act
	LeftMs  int64  `json:"left_ms,omitempty"`
}

// owners lists the works for a status; n.mu is not held.
func (n *Node) owners(s *agree.State) (list []OwnerStatus) {
	for _, name := range works() {
		w := s.Works[name]
		o := OwnerStatus{Work: name, Owner: w.Owner, Token: w.Token}
		if w.Asked != 0 {
			o.Leaving = w.Next
		}
		if token, ok := n.Owns(name); ok && token == w.Token {
			o.Acts = true
			n.leaseMu.Lock()
			o.LeftMs = n.lease.OwnLeft(n.Clock()).Milliseconds()
			n.leaseMu.Unlock()
		}
		list = append(list, o)
	}
	return list
}
