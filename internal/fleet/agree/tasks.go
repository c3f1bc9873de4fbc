package agree

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

// MaxTasks is how many works have owners at most.
const MaxTasks = 1024

// TaskOwnership is who does a work for the fleet, one node at a time. Its token only grows: it is a place in the log.
type TaskOwnership struct {
	Owner       string `json:"owner"` // node; "": nobody
	Incarnation string `json:"life"`  // of the node's process
	Token       uint64 `json:"token"`
	// Asked is the place in the log from which on the owner is to be another; 0: it is not.
	TransferIndex   uint64   `json:"asked,omitempty"`
	NextOwner       string   `json:"next,omitempty"`
	NextIncarnation string   `json:"next_life,omitempty"`
	ReleasedBy      []uint64 `json:"freed,omitempty"` // voters that say that the old owner is none any more
}

// OwnParts asks for a work's owner to be a node. Seen is the token that the asker knew: if it is another by then, nothing happens.
type TaskAssignment struct {
	Task          string `json:"work"`
	Node          string `json:"node"`
	Incarnation   string `json:"life"`
	ExpectedToken uint64 `json:"seen"`
}

// TaskRelease is a voter's word that nobody it granted a lease acts as the owner that is to be replaced any more.
type TaskRelease struct {
	Task          string `json:"work"`
	TransferIndex uint64 `json:"asked"`
	Voter         uint64 `json:"voter"`
}

// processKey is what leases and works go by: a node in one life.
func processKey(node, life string) string { return node + "\x00" + life }

// OwnershipRevision gives the place in the log at which the works of a process changed last: a lease covers the works of a set.
func (s *State) OwnershipRevision(node, life string) uint64 {
	return s.OwnershipRevisions[processKey(node, life)]
}

// OwnedTasks gives the works of a process with their tokens, but for those that are to be another's.
func (s *State) OwnedTasks(node, life string) map[string]uint64 {
	out := map[string]uint64{}
	for name, w := range s.Tasks {
		if w.Owner == node && w.Incarnation == life && w.TransferIndex == 0 {
			out[name] = w.Token
		}
	}
	return out
}

func (s *State) assignTask(index uint64, o *TaskAssignment) {
	w, known := s.Tasks[o.Task]
	switch {
	case !known && len(s.Tasks) >= MaxTasks, w.Token != o.ExpectedToken, w.TransferIndex != 0, known && w.Owner == o.Node && w.Incarnation == o.Incarnation:
		return
	}
	if s.Tasks == nil {
		s.Tasks, s.OwnershipRevisions = map[string]TaskOwnership{}, map[string]uint64{}
	}
	if w.Owner == "" {
		s.Tasks[o.Task] = TaskOwnership{Owner: o.Node, Incarnation: o.Incarnation, Token: index}
		s.OwnershipRevisions[processKey(o.Node, o.Incarnation)] = index
		return
	}
	w.TransferIndex, w.NextOwner, w.NextIncarnation = index, o.Node, o.Incarnation
	s.Tasks[o.Task] = w
	s.OwnershipRevisions[processKey(w.Owner, w.Incarnation)] = index
}

func (s *State) releaseTask(index uint64, f *TaskRelease, voters int) {
	w, known := s.Tasks[f.Task]
	if !known || w.TransferIndex == 0 || w.TransferIndex != f.TransferIndex {
		return
	}
	at, there := slices.BinarySearch(w.ReleasedBy, f.Voter)
	if there {
		return
	}
	w.ReleasedBy = slices.Insert(slices.Clone(w.ReleasedBy), at, f.Voter)
	if len(w.ReleasedBy) > voters/2 {
		w = TaskOwnership{Owner: w.NextOwner, Incarnation: w.NextIncarnation, Token: index}
		s.OwnershipRevisions[processKey(w.Owner, w.Incarnation)] = index
		s.pruneOwnershipRevisions()
	}
	s.Tasks[f.Task] = w
}

// pruneOwnershipRevisions forgets the sets of processes that own nothing and are to own nothing; a lease of theirs covers nothing.
func (s *State) pruneOwnershipRevisions() {
	if len(s.OwnershipRevisions) < 4*MaxTasks {
		return
	}
	used := map[string]bool{}
	for _, w := range s.Tasks {
		used[processKey(w.Owner, w.Incarnation)], used[processKey(w.NextOwner, w.NextIncarnation)] = true, true
	}
	maps.DeleteFunc(s.OwnershipRevisions, func(p string, _ uint64) bool { return !used[p] })
}

// promise is what a voter's leases of a kind come to for one process: it goes along with everything up to a mark.
type promise struct {
	revision   uint64
	end        time.Duration // of the last grant
	earlierEnd time.Duration // of the last grant by an earlier mark
	confirmed  uint64        // the process acts on nothing before this mark any more
}

// extend books a grant that ends at a time; one by a later mark ends nothing of those before.
func (p *promise) extend(mark, seen uint64, end time.Duration) {
	p.confirmed = max(p.confirmed, seen)
	if mark > p.revision {
		p.revision, p.earlierEnd = mark, max(p.earlierEnd, p.end)
	}
	p.end = end
}

// expired tells whether the process can't act on anything before a mark any more.
func (p *promise) expired(now time.Duration, mark uint64) bool {
	end := p.earlierEnd
	if p.revision < mark {
		end = p.end
	}
	return p.confirmed >= mark || now >= end
}

// CanRelease tells whether the process that owned a work acts as its owner no more, as far as this voter granted it leases.
func (d *LeaseTable) CanRelease(now time.Duration, w TaskOwnership) bool {
	if now < d.quietUntil {
		return false
	}
	h := d.holders[process{w.Owner, w.Incarnation}]
	return h == nil || h.ownership.expired(now, w.TransferIndex)
}

// LiveProcess gives the processes that hold a lease, with the time since when they have without a gap, one for each node: its latest.
func (d *LeaseTable) LiveProcesses(now time.Duration) map[string]LiveProcess {
	out := map[string]LiveProcess{}
	for key, h := range d.holders {
		if was, there := out[key.node]; h.epochs.end > now && (!there || h.continuousSince > was.Since) {
			out[key.node] = LiveProcess{key.incarnation, h.continuousSince}
		}
	}
	return out
}

// LiveProcess is a process that holds a lease.
type LiveProcess struct {
	Incarnation string
	Since       time.Duration
}

const (
	leasesBeforeOwning    = 2 // a node owns nothing before it has held a lease for so many without a gap
	maxAssignmentsPerTick = 8 // works given an owner in one tick: a takeover of many is spread
	proposalRetryTicks    = 10
)

// ChooseOwner gives the node that should own a work: of those that have held leases for long enough, the one whose hash with the work is
// highest, so that a node that goes moves nobody's works but its own.
func ChooseOwner(work string, live map[string]LiveProcess, eligible []string, now, settle time.Duration) (node, life string) {
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
		if sum := splitMix64(h.Sum64()); node == "" || sum > best || sum == best && cmp.Less(name, node) {
			best, node, life = sum, name, l.Incarnation
		}
	}
	return node, life
}

// splitMix64 spreads a sum whose last bytes differ over all of its bits (the finalizer of SplitMix64).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// manageTasks sees to the owners of works: a voter says whom it has freed, and the leader has works that nobody owns, or whose owner holds no
// lease, given to others.
func (v *Voter) manageTasks(now time.Duration) {
	s := v.state
	for _, name := range slices.Sorted(maps.Keys(s.Tasks)) {
		w := s.Tasks[name]
		if w.TransferIndex != 0 && !slices.Contains(w.ReleasedBy, v.ID) && v.shouldPropose("free "+name, w.TransferIndex) && v.leases.CanRelease(now, w) {
			v.Propose(&Entry{TaskRelease: &TaskRelease{Task: name, TransferIndex: w.TransferIndex, Voter: v.ID}})
		}
	}
	if v.Leader() != v.ID || len(v.Tasks) == 0 || now < v.leases.quietUntil {
		return
	}
	live := v.leases.LiveProcesses(now)
	left := maxAssignmentsPerTick
	for _, name := range v.Tasks {
		w := s.Tasks[name]
		l, there := live[w.Owner]
		if w.TransferIndex != 0 || there && l.Incarnation == w.Incarnation {
			continue
		}
		node, life := ChooseOwner(name, live, v.EligibleOwners, now, time.Duration(leasesBeforeOwning)*v.leases.config.Duration)
		if node == "" || !v.shouldPropose("own "+name, w.Token) {
			continue
		}
		v.Propose(&Entry{Assignment: &TaskAssignment{Task: name, Node: node, Incarnation: life, ExpectedToken: w.Token}})
		if left--; left == 0 {
			return
		}
	}
}

// shouldPropose tells whether something was not said in the last ticks of the same place in the log.
func (v *Voter) shouldPropose(what string, mark uint64) bool {
	if was, there := v.recentProposals[what]; there && was.revision == mark && v.ticks-was.tick < proposalRetryTicks {
		return false
	}
	if v.recentProposals == nil || len(v.recentProposals) > 4*MaxTasks {
		v.recentProposals = map[string]recentProposal{}
	}
	v.recentProposals[what] = recentProposal{mark, v.ticks}
	return true
}

type recentProposal struct {
	revision uint64
	tick     int
}
