package agree

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yokestall/internal/fleet/terms"
)

// LeaseConfig is the timing of leases.
type LeaseConfig = terms.LeaseConfig

// Facts are what a voter has learnt from the log, at an index. They were true of it once, whoever tells them.
type Facts struct {
	Index   uint64 `json:"index"`
	Epoch   uint64 `json:"epoch"`
	Number  uint64 `json:"number"`
	Pending uint64 `json:"pending"`
}

// Facts gives the state's.
func (s *State) Facts() Facts { return Facts{s.Index, s.Epoch, s.Number, s.Pending} }

func (f Facts) upto() uint64 {
	if f.Pending != 0 {
		return f.Epoch + 1
	}
	return f.Epoch
}

// Ask is what a node asks each voter for, again and again.
type Ask struct {
	Node      string `json:"node"`
	Life      string `json:"life"`      // of the process: another one after each start
	Seq       uint64 `json:"seq"`       // by which the answer is told from those to earlier asks
	Confirmed uint64 `json:"confirmed"` // it acts on nothing any more that came before this epoch
	Set       uint64 `json:"set"`       // nor as the owner of works by a set before this one
}

// Grant is a voter's promise: for the length of a lease from the ask on, it clears no epoch past Upto, and frees no work of the process that it
// is to lose past Set, unless the node confirms it.
type Grant struct {
	Voter uint64 `json:"voter"`
	Seq   uint64 `json:"seq"`
	Upto  uint64 `json:"upto"`
	Set   uint64 `json:"set"`
	Facts Facts  `json:"facts"`
}

// MaxHolders is how many processes a voter grants leases to at once. Those of processes that ended count until they end.
const MaxHolders = 4096

// ErrFull is that a voter grants as many leases as it may.
var ErrFull = errors.New("the voter grants as many leases as it may; ask again later")

// Desk is a voter's record of the leases that it has granted. It lives in memory: one that starts waits until
// all that an earlier life may have granted is over. Times are on the voter's own clock.
type Desk struct {
	terms   LeaseConfig
	quiet   time.Duration // it clears nothing before
	holders map[holder]*held
}

type holder struct{ node, life string }

type held struct {
	epochs, works promise
	since         time.Duration // it has held leases without a gap
}

// NewDesk starts a desk.
func NewDesk(now time.Duration, t LeaseConfig) *Desk {
	return &Desk{terms: t, quiet: now + t.GranterTerm(), holders: map[holder]*held{}}
}

// Ask grants a lease up to what the voter has heard of.
func (d *Desk) Ask(now time.Duration, voter uint64, a Ask, s *State) (Grant, error) {
	key := holder{a.Node, a.Life}
	h := d.holders[key]
	if h == nil {
		if len(d.holders) >= MaxHolders {
			if d.sweep(now); len(d.holders) >= MaxHolders {
				return Grant{}, ErrFull
			}
		}
		h = &held{since: now}
		d.holders[key] = h
	}
	if h.epochs.end <= now {
		h.since = now
	}
	end := now + d.terms.GranterTerm()
	h.epochs.grant(s.Upto(), a.Confirmed, end)
	h.works.grant(s.Set(a.Node, a.Life), a.Set, end)
	return Grant{Voter: voter, Seq: a.Seq, Upto: h.epochs.mark, Set: h.works.mark, Facts: s.Facts()}, nil
}

// Nodes names the processes that hold a lease, once each, in order.
func (d *Desk) Nodes(now time.Duration) (list []string) {
	for key, h := range d.holders {
		if h.epochs.end > now {
			list = append(list, key.node)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// sweep forgets leases that are over.
func (d *Desk) sweep(now time.Duration) {
	for key, h := range d.holders {
		if h.epochs.end <= now {
			delete(d.holders, key)
		}
	}
}

// Clear tells whether an epoch may be cleared: nobody who was granted a lease that ends before it still holds one without
// having confirmed it. Else it names those who are waited for.
func (d *Desk) Clear(now time.Duration, epoch uint64) (ok bool, waits []string) {
	if now < d.quiet {
		return false, []string{"leases of an earlier life"}
	}
	for key, h := range d.holders {
		if !h.epochs.over(now, epoch) {
			waits = append(waits, key.node)
		}
	}
	slices.Sort(waits)
	return len(waits) == 0, slices.Compact(waits)
}

// Rules is what a node acts on: a version whole, or two that contradict together, each by the stricter of both; or
// neither (Number 0), alone.
type Rules struct {
	Epoch   uint64 `json:"epoch"` // up to which a lease has to go for it
	Number  uint64 `json:"number"`
	Pending uint64 `json:"pending"` // with Number, the stricter of both
}

// String says it as operators read it.
func (r Rules) String() string {
	switch {
	case r.Number == 0:
		return "nothing"
	case r.Pending != 0:
		return fmt.Sprintf("the stricter of %d and %d", r.Number, r.Pending)
	}
	return fmt.Sprint("version ", r.Number)
}

// Lease is a node's side: what it may act on, and for how long, by what voters granted it. The node is asked at the
// moment of each decision and of each send; there is no flag that ages. Times are on the node's own clock, which must
// count the time in which the machine or the process was suspended.
type Lease struct {
	terms     LeaseConfig
	voters    int
	facts     Facts
	confirmed uint64
	seq       uint64
	asked     map[uint64]time.Duration      // when each ask of late was sent
	grants    map[uint64][]lent             // by voter: epochs
	sets      map[uint64][]lent             // by voter: sets of works
	set       uint64                        // the set that the node acts on
	holds     func(number uint64) (ok bool) // whether the node has a version's content, checked
}

// lent is a grant as its holder counts it.
type lent struct {
	upto uint64
	end  time.Duration
}

// asksMost is how many asks may be unanswered; an answer to an older one counts for nothing.
const asksMost = 64

// NewLease starts a node's side; holds tells which versions it could act on.
func NewLease(t LeaseConfig, voters int, holds func(number uint64) bool) *Lease {
	return &Lease{terms: t, voters: voters, holds: holds, asked: map[uint64]time.Duration{}, grants: map[uint64][]lent{}, sets: map[uint64][]lent{}}
}

// Ask gives the next ask; it counts from now on, so it must not be sent late on purpose.
func (l *Lease) Ask(now time.Duration) Ask {
	l.seq++
	l.asked[l.seq] = now
	delete(l.asked, l.seq-asksMost)
	return Ask{Seq: l.seq, Confirmed: l.confirmed, Set: l.set}
}

// Granted takes an answer. One that arrives twice, or late, counts as it would have at its time.
func (l *Lease) Granted(g Grant) {
	l.News(g.Facts)
	at, known := l.asked[g.Seq]
	if !known || len(l.grants) >= 2*l.voters && l.grants[g.Voter] == nil {
		return
	}
	end := at + l.terms.HolderTerm()
	l.grants[g.Voter] = lend(l.grants[g.Voter], g.Upto, end, l.facts.Epoch)
	l.sets[g.Voter] = lend(l.sets[g.Voter], g.Set, end, l.set+1)
}

// lend adds a promise to those of a voter. Of those by marks that are past only the latest but one matters.
func lend(list []lent, upto uint64, end time.Duration, now uint64) []lent {
	if i := slices.IndexFunc(list, func(x lent) bool { return x.upto == upto }); i >= 0 {
		list[i].end = max(list[i].end, end)
		return list
	}
	list = slices.DeleteFunc(list, func(x lent) bool { return x.upto+1 < now })
	return append(list, lent{upto, end})
}

// News takes what a voter says of the log without a promise.
func (l *Lease) News(f Facts) {
	if f.Index > l.facts.Index {
		l.facts = f
	}
}

// Facts gives the latest that were heard.
func (l *Lease) Facts() Facts { return l.facts }

// count gives how many voters' promises keep epochs past one from being cleared.
func (l *Lease) count(now time.Duration, epoch uint64) (n int) { return count(l.grants, now, epoch) }

func count(grants map[uint64][]lent, now time.Duration, upto uint64) (n int) {
	for _, list := range grants {
		if slices.ContainsFunc(list, func(x lent) bool { return x.upto <= upto && now < x.end }) {
			n++
		}
	}
	return n
}

// Want gives what the node should act on now, by all that it has heard and holds.
func (l *Lease) Want(now time.Duration) Rules {
	f := l.facts
	whole := Rules{Epoch: f.Epoch, Number: f.Number}
	joint := Rules{Epoch: f.Epoch + 1, Number: f.Number, Pending: f.Pending}
	switch {
	case f.Number == 0:
	case f.Pending != 0 && l.holds(f.Pending) && l.holds(f.Number) && l.May(now, joint):
		return joint
	case l.holds(f.Number) && l.May(now, whole):
		return whole
	}
	return Rules{}
}

// May tells whether the node may act on rules at this moment.
func (l *Lease) May(now time.Duration, r Rules) bool {
	return r.Number != 0 && r.Epoch >= l.confirmed && l.count(now, r.Epoch) > l.voters/2
}

// Took says that the node acts on rules from now on, and on nothing earlier any more; the next ask confirms it.
func (l *Lease) Took(r Rules) { l.confirmed = max(l.confirmed, r.Epoch) }

// TookSet says that the node acts as the owner by a set of works from now on, and by none before; the next ask confirms it.
func (l *Lease) TookSet(set uint64) { l.set = max(l.set, set) }

// MayOwn tells whether the node may act at this moment as the owner of the works of the set that it took last.
func (l *Lease) MayOwn(now time.Duration) bool {
	return l.set > 0 && count(l.sets, now, l.set) > l.voters/2
}

// Left is how long the node may go on acting on rules if it hears nothing more.
func (l *Lease) Left(now time.Duration, r Rules) time.Duration {
	if r.Number == 0 {
		return 0
	}
	return l.left(l.grants, now, r.Epoch)
}

// OwnLeft is how long it may go on acting as the owner of its works.
func (l *Lease) OwnLeft(now time.Duration) time.Duration { return l.left(l.sets, now, l.set) }

func (l *Lease) left(grants map[uint64][]lent, now time.Duration, upto uint64) time.Duration {
	var ends []time.Duration
	for _, list := range grants {
		best := time.Duration(0)
		for _, x := range list {
			if x.upto <= upto {
				best = max(best, x.end)
			}
		}
		ends = append(ends, best)
	}
	slices.Sort(ends)
	if need := l.voters/2 + 1; len(ends) >= need {
		return max(0, ends[len(ends)-need]-now)
	}
	return 0
}
