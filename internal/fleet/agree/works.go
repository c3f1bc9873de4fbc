package agree

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

// MaxWorks is how many works have owners at most.
const MaxWorks = 1024

// Ownership is who does a work for the fleet, one node at a time. Its token only grows: it is a place in the log.
type Ownership struct {
	Owner string `json:"owner"` // node; "": nobody
	Life  string `json:"life"`  // of the node's process
	Token uint64 `json:"token"`
	// Asked is the place in the log from which on the owner is to be another; 0: it is not.
	Asked    uint64   `json:"asked,omitempty"`
	Next     string   `json:"next,omitempty"`
	NextLife string   `json:"next_life,omitempty"`
	Freed    []uint64 `json:"freed,omitempty"` // voters that say that the old owner is none any more
}

// Own asks for a work's owner to be a node. Seen is the token that the asker knew: if it is another by then, nothing happens.
type Own struct {
	Work string `json:"work"`
	Node string `json:"node"`
	Life string `json:"life"`
	Seen uint64 `json:"seen"`
}

// Free is a voter's word that nobody it granted a lease acts as the owner that is to be replaced any more.
type Free struct {
	Work  string `json:"work"`
	Asked uint64 `json:"asked"`
	Voter uint64 `json:"voter"`
}

// process is what leases and works go by: a node in one life.
func process(node, life string) string { return node + "\x00" + life }

// Set gives the place in the log at which the works of a process changed last: a lease covers the works of a set.
func (s *State) Set(node, life string) uint64 { return s.Sets[process(node, life)] }

// Owned gives the works of a process with their tokens, but for those that are to be another's.
func (s *State) Owned(node, life string) map[string]uint64 {
	out := map[string]uint64{}
	for name, w := range s.Works {
		if w.Owner == node && w.Life == life && w.Asked == 0 {
			out[name] = w.Token
		}
	}
	return out
}

func (s *State) own(index uint64, o *Own) {
	w, known := s.Works[o.Work]
	switch {
	case !known && len(s.Works) >= MaxWorks, w.Token != o.Seen, w.Asked != 0, known && w.Owner == o.Node && w.Life == o.Life:
		return
	}
	if s.Works == nil {
		s.Works, s.Sets = map[string]Ownership{}, map[string]uint64{}
	}
	if w.Owner == "" {
		s.Works[o.Work] = Ownership{Owner: o.Node, Life: o.Life, Token: index}
		s.Sets[process(o.Node, o.Life)] = index
		return
	}
	w.Asked, w.Next, w.NextLife = index, o.Node, o.Life
	s.Works[o.Work] = w
	s.Sets[process(w.Owner, w.Life)] = index
}

func (s *State) free(index uint64, f *Free, voters int) {
	w, known := s.Works[f.Work]
	if !known || w.Asked == 0 || w.Asked != f.Asked {
		return
	}
	at, there := slices.BinarySearch(w.Freed, f.Voter)
	if there {
		return
	}
	w.Freed = slices.Insert(slices.Clone(w.Freed), at, f.Voter)
	if len(w.Freed) > voters/2 {
		w = Ownership{Owner: w.Next, Life: w.NextLife, Token: index}
		s.Sets[process(w.Owner, w.Life)] = index
		s.tidy()
	}
	s.Works[f.Work] = w
}

// tidy forgets the sets of processes that own nothing and are to own nothing; a lease of theirs covers nothing.
func (s *State) tidy() {
	if len(s.Sets) < 4*MaxWorks {
		return
	}
	used := map[string]bool{}
	for _, w := range s.Works {
		used[process(w.Owner, w.Life)], used[process(w.Next, w.NextLife)] = true, true
	}
	maps.DeleteFunc(s.Sets, func(p string, _ uint64) bool { return !used[p] })
}

// promise is what a voter's leases of a kind come to for one process: it goes along with everything up to a mark.
type promise struct {
	mark   uint64
	end    time.Duration // of the last grant
	before time.Duration // of the last grant by an earlier mark
	seen   uint64        // the process acts on nothing before this mark any more
}

// grant books a grant that ends at a time; one by a later mark ends nothing of those before.
func (p *promise) grant(mark, seen uint64, end time.Duration) {
	p.seen = max(p.seen, seen)
	if mark > p.mark {
		p.mark, p.before = mark, max(p.before, p.end)
	}
	p.end = end
}

// over tells whether the process can't act on anything before a mark any more.
func (p *promise) over(now time.Duration, mark uint64) bool {
	end := p.before
	if p.mark < mark {
		end = p.end
	}
	return p.seen >= mark || now >= end
}

// CanFree tells whether the process that owned a work acts as its owner no more, as far as this voter granted it leases.
func (d *Desk) CanFree(now time.Duration, w Ownership) bool {
	if now < d.quiet {
		return false
	}
	h := d.holders[holder{w.Owner, w.Life}]
	return h == nil || h.works.over(now, w.Asked)
}

// Live gives the processes that hold a lease, with the time since when they have without a gap, one for each node: its latest.
func (d *Desk) Live(now time.Duration) map[string]Live {
	out := map[string]Live{}
	for key, h := range d.holders {
		if was, there := out[key.node]; h.epochs.end > now && (!there || h.since > was.Since) {
			out[key.node] = Live{key.life, h.since}
		}
	}
	return out
}

// Live is a process that holds a lease.
type Live struct {
	Life  string
	Since time.Duration
}

const (
	settleLeases = 2 // a node owns nothing before it has held a lease for so many without a gap
	assignMost   = 8 // works given an owner in one tick: a takeover of many is spread
	assignTicks  = 10
)

// Candidate gives the node that should own a work: of those that have held leases for long enough, the one whose hash with the work is
// highest, so that a node that goes moves nobody's works but its own.
func Candidate(work string, live map[string]Live, eligible []string, now, settle time.Duration) (node, life string) {
	best := uint64(0)
	for _, name := range eligible {
		l, there := live[name]
		if !there || now-l.Since < settle {
			continue
		}
		h := fnv.New64a()
		io.WriteString(h, name)
		h.Write([]byte{0})
		io.WriteString(h, work)
		if sum := mix(h.Sum64()); node == "" || sum > best || sum == best && cmp.Less(name, node) {
			best, node, life = sum, name, l.Life
		}
	}
	return node, life
}

// mix spreads a sum whose last bytes differ over all of its bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// works sees to the owners of works: a voter says whom it has freed, and the leader has works that nobody owns, or whose owner holds no
// lease, given to others.
func (v *Voter) works(now time.Duration) {
	s := v.state
	for _, name := range slices.Sorted(maps.Keys(s.Works)) {
		w := s.Works[name]
		if w.Asked != 0 && !slices.Contains(w.Freed, v.ID) && v.due("free "+name, w.Asked) && v.desk.CanFree(now, w) {
			v.Propose(&Entry{Free: &Free{Work: name, Asked: w.Asked, Voter: v.ID}})
		}
	}
	if v.Leader() != v.ID || len(v.Works) == 0 || now < v.desk.quiet {
		return
	}
	live := v.desk.Live(now)
	left := assignMost
	for _, name := range v.Works {
		w := s.Works[name]
		l, there := live[w.Owner]
		if w.Asked != 0 || there && l.Life == w.Life {
			continue
		}
		node, life := Candidate(name, live, v.Eligible, now, time.Duration(settleLeases)*v.desk.terms.Duration)
		if node == "" || !v.due("own "+name, w.Token) {
			continue
		}
		v.Propose(&Entry{Own: &Own{Work: name, Node: node, Life: life, Seen: w.Token}})
		if left--; left == 0 {
			return
		}
	}
}

// due tells whether something was not said in the last ticks of the same place in the log.
func (v *Voter) due(what string, mark uint64) bool {
	if was, there := v.told[what]; there && was.mark == mark && v.ticks-was.at < assignTicks {
		return false
	}
	if v.told == nil || len(v.told) > 4*MaxWorks {
		v.told = map[string]told{}
	}
	v.told[what] = told{mark, v.ticks}
	return true
}

type told struct {
	mark uint64
	at   int
}
