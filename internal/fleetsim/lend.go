package fleetsim

import (
	"fmt"
	"time"

	"yokestall/internal/fleet/owner"
)

// lending is a node's side of the dealing out of cold servers' budgets.
type lending struct {
	share  *owner.Share
	taken  int64 // requests
	before int64 // of them at the last trade
	demand float64
	looks  uint64
}

const (
	looksATrade = 4   // a node looks at its part between trades, since loans end
	demandKeep  = 0.5 // weight of what was known of the demand
)

// parter is a Decider that can be told its part of cold servers' budgets.
type parter interface{ Part(part float64) }

func (s *sim) lendTerms() owner.Terms { return owner.Terms{Pledge: s.day.Deal, Drift: 0.01} }

// lendFrom starts a node's lending, in one of its lives.
func (n *node) lendFrom() {
	if n.day.Deal > 0 {
		n.lending = lending{share: owner.NewShare(n.now, n.lendTerms())}
		n.post(event{at: n.now, kind: evPart, node: n, token: n.starts})
	}
}

// lend is a step of the dealing.
func (s *sim) lend(e *event) {
	n := e.node
	switch {
	case e.kind == evTrade:
		s.post(event{at: s.now + s.delay(), kind: evDeal, node: n, token: e.token, deal: s.dealer.Trade(s.now, e.trade)})
		return
	case n.down || n.starts != e.token: // of a life that is over
		return
	case e.kind == evDeal:
		n.share.Dealt(s.now, e.deal)
		return
	}
	terms := s.lendTerms()
	step := terms.Renew() / looksATrade
	home := 1 / float64(s.day.Nodes)
	if n.looks++; n.looks%looksATrade == 0 {
		n.demand = demandKeep*n.demand + (1-demandKeep)*float64(n.taken-n.before)/terms.Renew().Seconds()
		n.before = n.taken
		t := n.share.Trade(s.now, home, n.demand)
		t.Node, t.Life = fmt.Sprint(n.set.Node), fmt.Sprint(n.starts)
		s.post(event{at: s.now + s.delay(), kind: evTrade, node: n, token: e.token, trade: t})
	}
	if d, ok := n.decider.(parter); ok {
		d.Part(n.share.Part(s.now, s.now+2*step, home) * float64(s.day.Nodes))
	}
	if s.now < s.day.Length+time.Minute {
		s.post(event{at: s.now + step, kind: evPart, node: n, token: e.token})
	}
}
