// Package owner holds works that one node at a time does for its fleet. It is pure: times are passed in, on each node's own clock.
//
// The first of them is the fleet's budget for cold servers. A server sees the sum of what all nodes send, so each may send a part of a whole; equal parts
// are less than one request at a hundred nodes, whoever has the traffic. Nodes lend what they don't need: a pledge is booked where it comes from
// before it is sent, and the owner of the work deals pledges out to who has demand, as slices with an end. The sum of all parts that could still
// be used never passes the whole, whoever owns the work, or believes so: a slice ends before its pledge does, and a pledge counts against its
// node's own part from the moment it is sent.
package owner

import (
	"slices"
	"time"
)

// Terms are the figures of lending, the same at every node.
type Terms struct {
	Pledge time.Duration // for so long a node does without what it lends, in true time
	Drift  float64       // most that a clock's rate differs from true time
}

// least is what the slowest clock shows at the end of a true time: who counts so far on any clock is not behind its end.
func (t Terms) least(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - t.Drift)) }

// most is what the fastest clock shows at the end of a true time.
func (t Terms) most(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + 1
}

// Renew is how often a node trades.
func (t Terms) Renew() time.Duration { return t.Pledge / 4 }

// Nonce is an owner's mark of a moment: who echoes it said so later than that.
type Nonce struct {
	Token uint64        `json:"token"`
	At    time.Duration `json:"at"` // on the owner's clock
}

// Trade is what a node tells the owner.
type Trade struct {
	Node   string  `json:"node"`
	Life   string  `json:"life"`
	Seq    uint64  `json:"seq"`
	Demand float64 `json:"demand"` // requests a second
	Home   float64 `json:"home"`   // its own part of the whole
	Pledge float64 `json:"pledge"` // of its own part, that it does without from now on
	Echo   Nonce   `json:"echo"`
}

// Deal is the owner's answer.
type Deal struct {
	Token  uint64        `json:"token"`
	Seq    uint64        `json:"seq"` // of the trade
	Nonce  Nonce         `json:"nonce"`
	Demand float64       `json:"demand"` // of all nodes
	Slice  float64       `json:"slice"`  // of the whole
	For    time.Duration `json:"for"`    // from the trade on, in true time
}

// loan is a part of the whole until a time.
type loan struct {
	part  float64
	until time.Duration
}

// Share is a node's part of the whole. It is not safe for concurrent use.
type Share struct {
	terms  Terms
	fence  uint64 // highest token that was heard
	booked []loan // lent out
	slices []loan // borrowed
	asked  map[uint64]time.Duration
	seq    uint64
	echo   Nonce
	all    float64 // the fleet's demand, as it was heard last
}

const (
	tradesMost = 16  // that may be unanswered
	keepLeast  = 0.1 // of its own part a node keeps, for the first requests that come
	loansMost  = 64  // of a kind, at a node
)

// NewShare starts a node's share. What an earlier life of it may have lent is taken to be all of its own part.
func NewShare(now time.Duration, t Terms) *Share {
	return &Share{terms: t, asked: map[uint64]time.Duration{}, booked: []loan{{1, now + t.most(t.Pledge)}}}
}

// Part gives the part of the whole that the node may use from now until a time, at which it asks again; home is its own part. That may
// change at all nodes together, as versions do: a node lends no more than its part was, and one that comes with more nodes starts with
// nothing, until what was dealt is over.
func (s *Share) Part(now, until time.Duration, home float64) float64 {
	own := home
	for _, l := range s.booked {
		if now < l.until {
			own -= l.part
		}
	}
	part := max(0, own)
	for _, l := range s.slices {
		if until < l.until {
			part += l.part
		}
	}
	return part
}

// Trade gives what is to be sent to the owner now: what it pledges is lent from this moment on, whether it arrives or not.
func (s *Share) Trade(now time.Duration, home, demand float64) Trade {
	s.booked = slices.DeleteFunc(s.booked, func(l loan) bool { return l.until <= now })
	s.slices = slices.DeleteFunc(s.slices, func(l loan) bool { return l.until <= now })
	s.seq++
	s.asked[s.seq] = now
	delete(s.asked, s.seq-tradesMost)
	t := Trade{Seq: s.seq, Demand: demand, Home: home, Echo: s.echo}
	if s.echo.Token == 0 || s.all <= 0 || len(s.booked) >= loansMost {
		return t
	}
	free := home
	for _, l := range s.booked {
		free -= l.part
	}
	need := max(home*keepLeast, demand/s.all)
	if p := free - need; p > home/100 {
		t.Pledge = p
		s.booked = append(s.booked, loan{p, now + s.terms.most(s.terms.Pledge)})
	}
	return t
}

// Dealt takes an owner's answer; false: it is fenced off, by a token that was passed, or it answers nothing that was asked.
func (s *Share) Dealt(now time.Duration, d Deal) bool {
	if d.Token < s.fence {
		return false
	}
	at, known := s.asked[d.Seq]
	if !known {
		return false
	}
	delete(s.asked, d.Seq) // one that comes twice counts once
	s.fence = d.Token
	s.echo, s.all = d.Nonce, d.Demand
	if end := at + s.terms.least(d.For); d.Slice > 0 && now < end && len(s.slices) < loansMost {
		s.slices = append(s.slices, loan{d.Slice, end})
	}
	return true
}

// Fence gives the highest token that was heard.
func (s *Share) Fence() uint64 { return s.fence }

// Dealer is the owner's side, for one token. Another token is another dealer, which knows nothing of what this one dealt, and needs not.
type Dealer struct {
	terms   Terms
	token   uint64
	pledges []loan
	nodes   map[string]*trader
}

type trader struct {
	life   string
	seq    uint64
	demand float64
	heard  time.Duration
	dealt  []loan
}

// MaxTraders is how many nodes a dealer knows; of further ones it takes nothing and gives them nothing.
const MaxTraders = 4096

// NewDealer starts to deal by a token.
func NewDealer(token uint64, t Terms) *Dealer {
	return &Dealer{terms: t, token: token, nodes: map[string]*trader{}}
}

// Trade answers a node. The caller has looked at its lease for the token right before, and sends the answer at once.
func (d *Dealer) Trade(now time.Duration, t Trade) Deal {
	out := Deal{Token: d.token, Seq: t.Seq, Nonce: Nonce{d.token, now}}
	d.sweep(now)
	n := d.nodes[t.Node]
	if n == nil {
		if len(d.nodes) >= MaxTraders {
			return out
		}
		n = &trader{}
		d.nodes[t.Node] = n
	}
	fresh := n.life != t.Life || t.Seq > n.seq
	if n.life != t.Life {
		n.life, n.seq = t.Life, 0
	}
	if fresh {
		n.seq, n.demand, n.heard = t.Seq, t.Demand, now
		// Whoever echoes a moment pledged after it, so the pledge lasts at least that long from then on.
		if end := t.Echo.At + d.terms.least(d.terms.Pledge); t.Pledge > 0 && t.Echo.Token == d.token && now < end {
			d.pledges = append(d.pledges, loan{t.Pledge, end})
		}
	}
	for _, other := range d.nodes {
		out.Demand += other.demand
	}
	if fresh && out.Demand > 0 {
		d.deal(now, n, t, &out)
	}
	return out
}

// deal gives a node what others have pledged, up to its part of the demand.
func (d *Dealer) deal(now time.Duration, n *trader, t Trade, out *Deal) {
	want := t.Demand/out.Demand - t.Home
	for _, l := range n.dealt {
		want -= l.part
	}
	if want <= t.Home/100 {
		return
	}
	slices.SortFunc(d.pledges, func(x, y loan) int { return int(y.until - x.until) })
	end := time.Duration(0)
	for i := range d.pledges {
		l := &d.pledges[i]
		if l.until-now < d.terms.Pledge/4 || l.part <= 0 {
			continue
		}
		part := min(l.part, want)
		l.part -= part
		want -= part
		out.Slice += part
		if end = l.until; want <= 0 {
			break
		}
	}
	if out.Slice == 0 {
		return
	}
	// The pledge's end was put as early as the slowest clock shows it; on that clock as much true time is left as this.
	out.For = time.Duration(float64(end-now) / (1 - d.terms.Drift))
	n.dealt = append(n.dealt, loan{out.Slice, end})
}

// sweep forgets what is over, and nodes that have not been heard for long.
func (d *Dealer) sweep(now time.Duration) {
	d.pledges = slices.DeleteFunc(d.pledges, func(l loan) bool { return l.until <= now || l.part <= 0 })
	for name, n := range d.nodes {
		n.dealt = slices.DeleteFunc(n.dealt, func(l loan) bool { return l.until <= now })
		if now-n.heard > 2*d.terms.Pledge {
			delete(d.nodes, name)
		}
	}
}
