package peers

import (
	"context"
	"sync"

	"yokestall/internal/fleet/agree"
	"yokestall/internal/fleet/owner"
)

// ColdWork is the fleet's budget for cold servers, which its owner deals out by demand.
const ColdWork = "cold-budget"

// works are those that the fleet gives owners. Owners are voters: they are asked by all others already.
func works() []string { return []string{ColdWork} }

// ownership is what this process owns, and the dealing that comes with it.
type ownership struct {
	mu     sync.Mutex
	owned  map[string]uint64 // tokens by work, of the set that was taken last
	set    uint64
	dealer *owner.Dealer
	token  uint64 // the dealer's
}

// TradeReply is a voter's answer to a trade: a deal, or who should be asked.
type TradeReply struct {
	Deal  *owner.Deal `json:"deal,omitempty"`
	Owner string      `json:"owner,omitempty"` // as this voter knows it; "": nobody
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

// trade deals, as the owner of the cold budget.
func (n *Node) trade(_ context.Context, t *owner.Trade) (*TradeReply, error) {
	token, ok := n.Owns(ColdWork)
	if !ok {
		s := n.state()
		if s == nil {
			return nil, errNoVoter
		}
		return &TradeReply{Owner: s.Works[ColdWork].Owner}, nil
	}
	n.works.mu.Lock()
	if n.works.token != token {
		n.works.dealer, n.works.token = owner.NewDealer(token, n.shareTerms()), token
	}
	d := n.works.dealer.Trade(n.Clock(), *t)
	n.works.mu.Unlock()
	if again, ok := n.Owns(ColdWork); !ok || again != token { // right before the effect
		return &TradeReply{}, nil
	}
	return &TradeReply{Deal: &d}, nil
}

// shareTerms are those of lending: a pledge outlasts two leases, so that a takeover ends none.
func (n *Node) shareTerms() owner.Terms {
	return owner.Terms{Pledge: 2 * n.Terms.Lease, Drift: n.Terms.Drift}
}

// demandKeep is the weight of what was known of the demand before.
const demandKeep = 0.5

// trades lends and borrows parts of the cold budget, until the node ends.
func (n *Node) trades() {
	terms := n.shareTerms()
	share := owner.NewShare(n.Clock(), terms)
	demand, count, at := 0.0, n.Demand(), n.Clock()
	asked, told := "", -1.0
	step := terms.Renew() / 4 // loans end between trades
	for i := 0; n.ctx.Err() == nil; i++ {
		n.pause(step)
		now := n.Clock()
		nodes := n.nodes.Load()
		if nodes == 0 {
			continue
		}
		home := 1 / float64(nodes)
		if i%4 == 0 {
			c := n.Demand()
			demand = demandKeep*demand + (1-demandKeep)*float64(c-count)/(now-at).Seconds()
			count, at = c, now
			t := share.Trade(now, home, demand)
			t.Node, t.Life = n.Name, n.life
			if d := n.dealWithOwner(&asked, t); d != nil {
				share.Dealt(n.Clock(), *d)
			}
		}
		if part := share.Part(now, n.Clock()+2*step, home) * float64(nodes); part != told {
			n.Part(part)
			told = part
		}
	}
}

// dealWithOwner has the owner answer a trade; it is looked for among the voters, first where it was last.
func (n *Node) dealWithOwner(last *string, t owner.Trade) *owner.Deal {
	tried := map[string]bool{}
	names := []string{*last}
	for _, v := range n.Voters {
		names = append(names, v.Name)
	}
	for len(names) > 0 {
		name := names[0]
		names = names[1:]
		if name == "" || tried[name] {
			continue
		}
		tried[name] = true
		r := n.tradeWith(name, t)
		if r == nil {
			continue
		}
		if r.Deal != nil {
			*last = name
			return r.Deal
		}
		if r.Owner != "" {
			names = append([]string{r.Owner}, names...)
		}
	}
	*last = ""
	return nil
}

func (n *Node) tradeWith(name string, t owner.Trade) *TradeReply {
	ctx, stop := context.WithTimeout(n.ctx, n.shareTerms().Renew()/2)
	defer stop()
	if name == n.Name && n.votes() {
		r, err := n.trade(ctx, &t)
		if err != nil {
			return nil
		}
		return r
	}
	c := n.conns[voterID(name)]
	if c == nil {
		return nil
	}
	r, err := call[TradeReply](ctx, c, "Trade", t)
	if err != nil {
		return nil
	}
	return r
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
