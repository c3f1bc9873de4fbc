package consensus

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/fleet"
)

// A whole fleet in one thread, in virtual time: voters, followers, publishers, clocks that are fast or slow, a
// network that loses, delays, holds and repeats, processes that are stopped, killed, and start again on their disks.

// without names a guard that is left out.
type without string

const (
	nothing    without = ""
	leaseCheck without = "the lease is not looked at"
	atWake     without = "the lease is looked at by a timer"
	waiting    without = "a version is in force at once"
	quietStart without = "a voter that starts clears at once"
	drift      without = "clocks are taken to be exact"
	fromAnswer without = "a lease counts from its answer on"
	confirmed  without = "a node confirms before it has changed over"
	majority   without = "one voter's promise is enough"
	ownLease   without = "an owner does not look at its lease"
	freed      without = "a work is given on at once"
	reading    without = "a voter answers by what it has"
	lives      without = "a read's answer may be an earlier life's"
)

// heldMost is how long the network may hold a message and deliver it all the same.
const heldMost = 12 * time.Second

var seeds = flag.Int("seeds", 200, "how many TestFleetInVirtualTime plays")

type fleetSim struct {
	t       testing.TB
	rng     *rand.Rand
	out     without
	terms   LeaseConfig
	now     time.Duration
	queue   eventQueue
	order   int
	nodes   []*simNode
	voters  []uint64
	faulty  bool
	acked   map[string]uint64
	epochs  map[uint64]uint64 // of versions that were ever in force: number to first epoch
	broken  []string
	longest time.Duration // from a version's commit to its being in force, with all well
	versions,
	changes int
	pendingAt map[uint64]time.Duration
	takeovers int
	tokens    map[string]uint64 // by work: the highest that an owner acted by
	applied   uint64            // the last entry that any voter has applied
	reads     int               // that were answered
	asking    *rand.Rand        // draws of probe alone
	answers   []fleet.Event     // of owners of w0, by probe
}

type simNode struct {
	id          uint64
	name        string
	life        int
	rate        float64
	offset      time.Duration
	voter       *Voter
	disk        DiskState
	lease       *Lease
	acting      ActiveVersions
	flag        bool // for atWake
	owned       map[string]uint64
	down        bool
	pausedUntil time.Duration
	cutUntil    time.Duration // all its links
	deafUntil   time.Duration // what is sent to it is lost
	late        []func()
	reads       map[uint64]uint64 // that wait for their answer: what was applied somewhere before
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

var simTerms = LeaseConfig{Duration: 1500 * time.Millisecond, MaxClockDrift: 0.1, ApplyTimeout: 100 * time.Millisecond}

func newSim(t testing.TB, seed uint64, voters, followers int, out without) *fleetSim {
	s := &fleetSim{t: t, rng: rand.New(rand.NewPCG(seed, 39)), out: out, terms: simTerms, acked: map[string]uint64{},
		epochs: map[uint64]uint64{}, pendingAt: map[uint64]time.Duration{}, tokens: map[string]uint64{},
		asking: rand.New(rand.NewPCG(seed, 40))}
	if out == drift {
		s.terms.MaxClockDrift = 0
	}
	for i := range voters {
		s.voters = append(s.voters, uint64(i+1))
	}
	for i := range voters + followers {
		n := &simNode{id: uint64(i + 1), name: fmt.Sprint("n", i+1),
			rate: 1 + simTerms.MaxClockDrift*(2*s.rng.Float64()-1), offset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		if s.rng.IntN(3) == 0 { // the ends of what is allowed
			n.rate = 1 + simTerms.MaxClockDrift*float64(2*s.rng.IntN(2)-1)
		}
		if i < voters {
			n.disk = InitialDiskState(s.voters)
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

func (s *fleetSim) at(in time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + in, s.order, do})
}

// on has a node do something, once it is awake, if it still lives the same life.
func (s *fleetSim) on(n *simNode, in time.Duration, do func()) {
	life := n.life
	s.at(in, func() {
		if n.down || n.life != life {
			return
		}
		if n.pausedUntil > s.now {
			n.late = append(n.late, do)
			return
		}
		do()
		s.after(n)
	})
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (s *fleetSim) start(n *simNode) {
	n.life++
	n.down, n.acting, n.late, n.pausedUntil, n.owned, n.reads = false, ActiveVersions{}, nil, 0, nil, map[uint64]uint64{}
	now := n.clock(s.now)
	voters := len(s.voters)
	heard := map[uint64]time.Duration{}
	n.lease = NewLease(s.terms, voters, func(number uint64) bool { // it takes a while to get it and to read it
		if _, known := heard[number]; !known {
			heard[number] = s.now + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		}
		return s.now >= heard[number]
	})
	if s.out == majority {
		n.lease.voters = 1
	}
	if int(n.id) <= voters {
		v, err := NewVoter(now, n.id, s.terms, n.disk)
		if err != nil {
			s.t.Fatal(err)
		}
		if s.out == quietStart {
			v.leases.quietUntil = 0
		}
		n.voter = v
		if s.out != lives {
			v.Incarnation = uint64(n.life)
		}
		for i := range 6 {
			v.Tasks = append(v.Tasks, fmt.Sprint("w", i))
		}
		for i := range voters {
			v.EligibleOwners = append(v.EligibleOwners, fmt.Sprint("n", i+1))
		}
		s.ticks(n)
	}
	s.asks(n)
}

func (s *fleetSim) ticks(n *simNode) {
	s.on(n, time.Duration(float64(Tick)/n.rate), func() {
		n.voter.Tick(n.clock(s.now))
		if s.rng.IntN(10) == 0 {
			n.reads[n.voter.StartRead()] = s.applied
		}
		s.probe(n)
		s.ticks(n)
	})
}

// probe has somebody ask a voter now and then whether it owns a work, over a network that takes its time.
func (s *fleetSim) probe(n *simNode) {
	if s.asking.IntN(5) > 0 {
		return
	}
	asked, way := s.now, func() time.Duration { return time.Duration(s.asking.Int64N(int64(200 * time.Millisecond))) }
	s.on(n, way(), func() {
		if token, owns := s.owns(n)["w0"]; owns {
			s.answers = append(s.answers, fleet.Event{Kind: fleet.OwnerAnswered, Party: int(n.id), Version: int(token), Reference: asked,
				At: s.now + way()})
		}
	})
}

// read holds what a voter says is all of the log against what had been applied when it was asked.
func (s *fleetSim) read(n *simNode) {
	for id, upto := range n.reads {
		if s.out != reading && !n.voter.ReadDone(id) {
			continue
		}
		if delete(n.reads, id); n.voter.State().Index < upto {
			s.broken = append(s.broken, fmt.Sprintf("%v: %s says that the log ends at %d, and %d had been applied", s.now,
				n.name, n.voter.State().Index, upto))
		}
		s.reads++
	}
}

func (s *fleetSim) asks(n *simNode) {
	s.on(n, time.Duration(float64(s.terms.RenewInterval())/n.rate), func() {
		s.ask(n)
		s.take(n)
		s.asks(n)
	})
}

func (s *fleetSim) ask(n *simNode) {
	a := n.lease.NextRequest(n.clock(s.now))
	a.Node, a.Incarnation = n.name, fmt.Sprint(n.life)
	if s.out == confirmed && n.lease.logStatus.PendingVersion != 0 {
		a.ConfirmedEpoch = n.lease.logStatus.Epoch + 1
	}
	for _, id := range s.voters {
		to := s.nodes[id-1]
		s.send(n, to, func() {
			g, err := to.voter.GrantLease(to.clock(s.now), a)
			if err == nil {
				to.voter.AcknowledgeEpoch(to.clock(s.now))
				s.send(to, n, func() {
					if s.out == fromAnswer {
						n.lease.requestedAt[g.Sequence] = n.clock(s.now)
					}
					n.lease.HandleGrant(g)
				})
			}
		})
	}
}

// send carries something from node to node as the network is.
func (s *fleetSim) send(from, to *simNode, do func()) {
	in := time.Millisecond + time.Duration(s.rng.Int64N(int64(8*time.Millisecond)))
	if from == to {
		s.on(to, 0, do)
		return
	}
	if from.cutUntil > s.now || to.cutUntil > s.now || to.deafUntil > s.now {
		return
	}
	if s.faulty {
		switch s.rng.IntN(40) {
		case 0:
			return
		case 1:
			s.on(to, in+time.Duration(s.rng.Int64N(int64(heldMost))), do) // twice, the second time late
		case 2:
			in += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
	}
	s.on(to, in, do)
}

// after does what a node's state asks for once something has happened to it.
func (s *fleetSim) after(n *simNode) {
	if v := n.voter; v != nil {
		for {
			w, some := v.Ready()
			if !some {
				break
			}
			s.save(n, w)
			for _, m := range w.Messages {
				to := s.nodes[m.GetTo()-1]
				data, err := proto.Marshal(m)
				if err != nil {
					s.t.Fatal(err)
				}
				s.send(n, to, func() {
					got := &pb.Message{}
					if err := proto.Unmarshal(data, got); err != nil {
						s.t.Fatal(err)
					}
					to.voter.Step(got)
				})
				if m.GetType() == pb.MsgSnap {
					v.SnapshotSent(m.GetTo(), true)
				}
			}
			before := v.State()
			snap, err := v.Advance(w)
			if err != nil {
				s.t.Fatal(err)
			}
			if snap != nil {
				n.disk.Snapshot = snap
				n.disk.Entries = slices.DeleteFunc(n.disk.Entries,
					func(e *pb.Entry) bool { return e.GetIndex() <= snap.GetMetadata().GetIndex() })
			}
			s.note(before, v.State())
			if before.LogStatus() != v.State().LogStatus() {
				n.lease.UpdateLogStatus(v.State().LogStatus())
				for _, to := range s.nodes { // who is connected hears of it
					s.send(n, to, func() {
						if f := v.State().LogStatus(); f.Index > to.lease.logStatus.Index {
							to.lease.UpdateLogStatus(f)
							s.take(to)
							s.ask(to)
						}
					})
				}
			}
		}
		if s.out == freed && slices.ContainsFunc(slices.Collect(maps.Values(v.State().Tasks)),
			func(w TaskOwnership) bool { return w.TransferIndex != 0 }) {
			v.leases.holders, v.leases.quietUntil = map[process]*processLeases{}, 0
		}
		if set := v.State().OwnershipRevision(n.name, fmt.Sprint(n.life)); set > n.lease.ownershipRevision {
			n.owned = v.State().OwnedTasks(n.name, fmt.Sprint(n.life))
			n.lease.ConfirmOwnership(set)
			s.takeovers++
			s.ask(n)
		}
		s.read(n)
		s.judgeOwners()
		if s.out == waiting && v.State().PendingVersion != 0 {
			v.leases.holders, v.leases.quietUntil = map[process]*processLeases{}, 0
		}
	}
	s.take(n)
}

// note books what a voter has newly applied.
func (s *fleetSim) note(before, now *State) {
	s.applied = max(s.applied, now.Index)
	for _, m := range now.History {
		if before.Version(m.Number) == nil {
			if was, known := s.acked[m.ID]; known && was != m.Number {
				s.broken = append(s.broken, fmt.Sprintf("%s is version %d and %d", m.ID, was, m.Number))
			}
			if s.acked[m.ID] == 0 {
				s.versions++
			}
			s.acked[m.ID] = m.Number
		}
	}
	if p := now.PendingVersion; p != 0 && s.pendingAt[p] == 0 {
		s.pendingAt[p] = s.now
	}
	if p := before.PendingVersion; p != 0 && now.ActiveVersion == p && s.pendingAt[p] > 0 {
		s.longest = max(s.longest, s.now-s.pendingAt[p])
		s.pendingAt[p] = -1
	}
}

func (s *fleetSim) save(n *simNode, w ReadyWork) {
	if w.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = w.Snapshot, nil
	}
	if w.HardState != nil {
		n.disk.HardState = w.HardState
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries),
			func(e *pb.Entry) bool { return e.GetIndex() >= first })
		n.disk.Entries = append(n.disk.Entries, w.Entries...)
	}
}

// take has a node change over to what it should act on.
func (s *fleetSim) take(n *simNode) {
	now := n.clock(s.now)
	if r := n.lease.DesiredVersions(now); r.Version != 0 && r != n.acting {
		n.acting = r
		n.lease.ConfirmVersions(r)
		s.changes++
		s.judge(n)
		if r.PendingVersion != 0 {
			s.ask(n) // confirms
		}
	}
	n.flag = n.lease.Permits(now, n.acting)
}

// acts gives what a node acts on at this moment.
func (s *fleetSim) acts(n *simNode) ActiveVersions {
	switch {
	case n.down || n.pausedUntil > s.now:
		return ActiveVersions{}
	case s.out == leaseCheck:
		return n.acting
	case s.out == atWake && n.flag || n.lease.Permits(n.clock(s.now), n.acting):
		return n.acting
	}
	return ActiveVersions{}
}

// owns gives the works that a node acts as the owner of at this moment.
func (s *fleetSim) owns(n *simNode) map[string]uint64 {
	if n.down || n.pausedUntil > s.now || len(n.owned) == 0 ||
		s.out != ownLease && !n.lease.PermitsOwnership(n.clock(s.now)) {
		return nil
	}
	return n.owned
}

// judgeOwners looks for two owners of one work at one moment, and for an owner by a token that was passed.
func (s *fleetSim) judgeOwners() {
	owner := map[string]*simNode{}
	for _, id := range s.voters {
		n := s.nodes[id-1]
		for work, token := range s.owns(n) {
			if other := owner[work]; other != nil {
				s.broken = append(s.broken, fmt.Sprintf("%v: %s is owned by %s and %s", s.now, work, other.name, n.name))
			}
			if owner[work] = n; token < s.tokens[work] {
				s.broken = append(s.broken, fmt.Sprintf("%v: %s owns %s by token %d after %d", s.now, n.name, work, token,
					s.tokens[work]))
			}
			s.tokens[work] = max(s.tokens[work], token)
		}
	}
}

// judge holds what a node acts on against all others: from the epochs alone, by the table in contradict.go.
func (s *fleetSim) judge(n *simNode) {
	a := s.acts(n)
	if a.Version == 0 {
		return
	}
	for _, other := range s.nodes {
		b := s.acts(other)
		if other == n || b.Version == 0 || a.Version == b.Version ||
			a.PendingVersion != 0 && a.PendingVersion == b.Version || b.PendingVersion != 0 && b.PendingVersion == a.Version {
			continue
		}
		if a.Epoch == b.Epoch || a.PendingVersion != 0 && b.Epoch == a.Epoch-1 ||
			b.PendingVersion != 0 && a.Epoch == b.Epoch-1 {
			continue
		}
		if a.PendingVersion != 0 && b.PendingVersion != 0 &&
			(a.Version == b.PendingVersion || b.Version == a.PendingVersion) {
			continue
		}
		s.broken = append(s.broken, fmt.Sprintf("%v: %s acts on %v, %s on %v", s.now, n.name, a, other.name, b))
	}
}

func (s *fleetSim) publish(id string, contradicts bool) {
	var up []*simNode
	for _, v := range s.voters {
		if n := s.nodes[v-1]; !n.down {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	n := up[s.rng.IntN(len(up))]
	s.on(n, 0, func() {
		m := &Manifest{ID: id, Base: n.voter.State().ActiveVersion, Contradicts: contradicts, Proposer: n.name,
			Parts: []Part{{Name: "a", Hash: fmt.Sprintf("%064d", 1)}}}
		if n.voter.State().CheckProposal(m) == nil {
			n.voter.Propose(&Entry{Propose: m})
		}
	})
}

func (s *fleetSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// trouble has one fault befall the fleet.
func (s *fleetSim) trouble() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	switch s.rng.IntN(6) {
	case 0: // stopped where it stands
		if n.down || n.pausedUntil > s.now {
			return
		}
		n.pausedUntil = s.now + length
		life := n.life
		s.at(length, func() {
			if n.life != life || n.down {
				return
			}
			n.pausedUntil = 0
			s.judgeOwners()
			s.judge(n) // before it has done anything
			late := n.late
			n.late = nil
			for _, do := range late {
				do()
				s.after(n)
			}
		})
	case 1: // killed, and started on its disk
		if n.down {
			return
		}
		n.down = true
		s.at(length/4, func() { s.start(n) })
	case 2:
		n.cutUntil = s.now + length
	case 3:
		n.deafUntil = s.now + length
	case 4: // all voters lose power, and one node hears nothing of it
		n.cutUntil = s.now + length
		for _, id := range s.voters {
			if v := s.nodes[id-1]; !v.down && v != n {
				v.down = true
				s.at(length/50, func() { s.start(v) })
			}
		}
	case 5: // half of them from the others
		for _, other := range s.nodes {
			if s.rng.IntN(2) == 0 {
				other.cutUntil = s.now + length
			}
		}
	}
}

// play runs a fleet under faults, and lets it heal.
func play(t testing.TB, seed uint64, voters, followers int, out without) *fleetSim {
	s := newSim(t, seed, voters, followers, out)
	s.run(2 * time.Second)
	s.faulty = true
	for i := range 40 {
		s.publish(fmt.Sprint("v", i), s.rng.IntN(4) > 0)
		for range s.rng.IntN(3) {
			s.trouble()
		}
		s.run(s.now + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))))
		if len(s.broken) > 0 {
			return s
		}
	}
	s.faulty = false
	s.run(s.now + heldMost + 5*time.Second)
	return s
}

// healed checks what must hold once all is well again: one history at all voters, with everything that was
// acknowledged, and all nodes on its last version.
func (s *fleetSim) healed() {
	first := s.nodes[0].voter.State()
	for _, id := range s.voters[1:] {
		if other := s.nodes[id-1].voter.State(); !reflect.DeepEqual(first, other) {
			s.broken = append(s.broken, fmt.Sprintf("voters 1 and %d differ: %+v, %+v", id, first, other))
		}
	}
	for id, number := range s.acked {
		if m := first.Version(number); (m == nil || m.ID != id) &&
			number >= first.History[0].Number { // older ones are trimmed
			s.broken = append(s.broken, fmt.Sprintf("version %d, %s, was acknowledged and is gone", number, id))
		}
	}
	if first.PendingVersion != 0 {
		s.broken = append(s.broken, fmt.Sprintf("version %d still waits", first.PendingVersion))
	}
	for _, work := range s.nodes[0].voter.Tasks {
		owners := 0
		for _, id := range s.voters {
			if _, owns := s.owns(s.nodes[id-1])[work]; owns {
				owners++
			}
		}
		if owners != 1 {
			s.broken = append(s.broken, fmt.Sprintf("%s has %d owners", work, owners))
		}
	}
	for _, n := range s.nodes {
		if a := s.acts(n); a.Version != first.ActiveVersion || a.PendingVersion != 0 {
			s.broken = append(s.broken, fmt.Sprintf("%s acts on %v, not on %d", n.name, a, first.ActiveVersion))
		}
	}
}

// No two nodes act on versions that contradict, no version is lost, and there is one history, whatever befalls them.
func TestFleetInVirtualTime(t *testing.T) {
	seeds := *seeds
	if testing.Short() || raced { // the whole number is played without the detector
		seeds = min(seeds, 8)
	}
	versions, changes, takeovers, reads := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		cryptotest.SetGlobalRandom(t, seed)
		s := play(t, seed, 3+2*int(seed%3), int(seed%5), nothing)
		s.healed()
		if len(s.broken) > 0 {
			t.Fatalf("seed %d: %d findings, first: %s", seed, len(s.broken), s.broken[0])
		}
		versions, changes, takeovers, reads = versions+s.versions, changes+s.changes, takeovers+s.takeovers, reads+s.reads
	}
	if versions < seeds || changes < 4*seeds || takeovers < 4*seeds || reads < 100*seeds {
		t.Errorf("%d versions, %d changes, %d ownership revisions, %d reads: too few to say anything", versions, changes,
			takeovers, reads)
	}
	t.Logf("%d seeds: %d versions, %d changes of a node's rules, no contradiction; "+
		"%d ownership revisions confirmed, never two owners; %d reads, none of a stale log",
		seeds, versions, changes, takeovers, reads)
}

// Each guard that is left out is found by the same runs.
func TestGuardsInVirtualTime(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	for _, out := range []without{leaseCheck, atWake, waiting, quietStart, drift, fromAnswer, confirmed, majority,
		ownLease, freed, reading, lives} {
		t.Run(string(out), func(t *testing.T) {
			for seed := range uint64(400) {
				cryptotest.SetGlobalRandom(t, seed)
				if s := play(t, seed, 3+2*int(seed%3), int(seed%5), out); len(s.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.broken[0])
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}

// What owners answered, each asked and heard over a network that takes its time, has one order in which each owner
// follows the one before it by a higher token; with the owner's look at its lease taken out it has none. The checker
// knows nothing of the program.
func TestOwnersHaveOneOrder(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	seeds, answers := uint64(40), 0
	for seed := range seeds {
		cryptotest.SetGlobalRandom(t, seed)
		n, found := fleet.CheckOwnerOrder(play(t, seed, 3+2*int(seed%3), int(seed%5), nothing).answers)
		if len(found) > 0 {
			t.Fatalf("seed %d: %v", seed, found)
		}
		answers += n
	}
	if answers < 100*int(seeds) {
		t.Errorf("%d answers: too few to say anything", answers)
	}
	t.Logf("%d answers over %d seeds", answers, seeds)
	for seed := range uint64(400) {
		cryptotest.SetGlobalRandom(t, seed)
		if _, found := fleet.CheckOwnerOrder(play(t, seed, 3+2*int(seed%3), int(seed%5), ownLease).answers); len(found) > 0 {
			if !strings.Contains(found[0].Rule, string(porcupine.Illegal)) {
				t.Fatalf("seed %d: %v", seed, found[0])
			}
			t.Logf("with the look taken out, seed %d: %v", seed, found[0])
			return
		}
	}
	t.Error("not found in 400 seeds with the look taken out")
}
