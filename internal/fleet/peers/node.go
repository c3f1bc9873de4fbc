// Package peers is the shell around what a fleet agrees on: it runs the pure modules of fleet/agree over RPC, a store and clocks, and
// gives the program a version to act on, with the time for which it may.
package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/config"
	"yokestall/internal/fleet/agree"
	"yokestall/internal/fleet/store"
	"yokestall/internal/fleet/terms"
)

// Config is what a node is told.
type Config struct {
	Fleet, Name string
	Dir         string // of its store
	Voters      []Voter
	Terms       terms.Terms
	Alone       terms.Alone
	ServerTLS   *tls.Config // nil: clear text, on loopback alone
	ClientTLS   *tls.Config
	Log         *slog.Logger
	// Clock counts leases: it goes on while the process is suspended. nil: BootTime.
	Clock func() time.Duration
	// Parse reads a version's files by this program's checks: an error is why this node can't hold it.
	Parse func(list []config.File) (*agree.Version, error)
	// Extend is Parse for the files of a version that was read and changes of lists beside them; nil: all is read anew.
	Extend func(v *agree.Version, changes []config.File) (*agree.Version, error)
	// Take has the program act on something; what it took before is over when it returns.
	Take func(a agree.Acting) error
	Hooks
}

// Node is a node of a fleet. Create it with Open.
type Node struct {
	Config
	life  string
	store *store.Store
	ctx   context.Context
	stop  context.CancelFunc
	run   sync.WaitGroup
	puts  chan struct{}
	conns map[uint64]*Conn // to voters but itself
	out   map[uint64]chan *pb.Message

	start store.Life // of a voter

	mu       sync.Mutex   // guards what follows
	standing *agree.Voter // that has not been admitted yet
	voter    *agree.Voter
	broken   error         // why it votes no more
	changed  chan struct{} // closed when the voter's state is another
	recent   map[string]time.Time

	leaseMu sync.Mutex
	lease   *agree.Lease
	askNow  chan struct{} // closed to have all voters asked

	acting atomic.Pointer[acting]
	kick   chan struct{}

	heldMu sync.Mutex
	held   map[uint64]*agree.Version
	cannot map[uint64]string
	coming map[uint64]bool
	known  map[uint64]*agree.Manifest // of those held

	readMu    sync.Mutex // guards the version that was read whole last
	readLast  *agree.Version
	readParts []agree.Part

	works ownership
}

// acting is what the program acts on, and until when on the node's clock.
type acting struct {
	rules agree.Rules
	alone bool
	until time.Duration
}

const (
	outMost    = 1024 // messages to a voter that wait; raft sends again what is lost
	heldMost   = 4    // versions that are kept read
	retryAfter = 100 * time.Millisecond
	recentFor  = time.Minute // content that no version names yet is kept so long
)

func voterID(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return max(1, h.Sum64()) // 0 is none
}

func hash(data []byte) string { return store.Hash(data) }

// Init makes the store of a folder that of a voter of a new fleet.
func Init(c Config) error {
	s, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Init(store.Identity{Fleet: c.Fleet, Name: c.Name, ID: voterID(c.Name), Voters: ids(c.Voters)})
}

func ids(voters []Voter) (list []uint64) {
	for _, v := range voters {
		list = append(list, v.ID())
	}
	slices.Sort(list)
	return list
}

// Open starts a node. It votes if the configuration says so and its store was made by Init; else it follows.
func Open(c Config) (*Node, error) {
	if c.Clock == nil {
		c.Clock = BootTime
	}
	n := &Node{
		Config: c, life: NewID(), puts: make(chan struct{}, maxPuts), conns: map[uint64]*Conn{}, out: map[uint64]chan *pb.Message{},
		changed: make(chan struct{}), recent: map[string]time.Time{}, askNow: make(chan struct{}), kick: make(chan struct{}, 1),
		held: map[uint64]*agree.Version{}, cannot: map[uint64]string{}, coming: map[uint64]bool{}, known: map[uint64]*agree.Manifest{},
	}
	var err error
	if n.store, err = store.Open(c.Dir); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.lease = agree.NewLease(c.Terms, len(c.Voters), n.holds)
	if err := n.open(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	own := voterID(n.Name)
	for _, v := range n.Voters {
		if v.ID() == own {
			if err := n.vote(own); err != nil {
				return err
			}
			if n.standing != nil {
				continue
			}
		}
		c, err := Dial(v, n.ClientTLS, n.Fleet, n.dialOptions()...)
		if err != nil {
			return err
		}
		n.conns[v.ID()] = c
	}
	return nil
}

// vote takes up the voter of the store; none, if the store was not made one's.
func (n *Node) vote(own uint64) error {
	id, disk, err := n.store.Voter()
	if errors.Is(err, store.ErrNotInit) {
		n.Log.Warn("this node is named as a voter and its store is none's: it follows, and doesn't vote", "store", n.Dir)
		return nil
	}
	if err != nil {
		return err
	}
	if id.Fleet != n.Fleet || id.ID != own || !slices.Equal(id.Voters, ids(n.Voters)) {
		return fmt.Errorf("%s: the store is of the voter %s of the fleet %q, among others: %s", n.Dir, id.Name, id.Fleet, "the configuration names another, or other voters")
	}
	v, err := agree.NewVoter(n.Clock(), own, n.Terms, disk)
	if err != nil {
		return err
	}
	v.Works, v.Life = works(), rand.Uint64()
	for _, other := range n.Voters {
		v.Eligible = append(v.Eligible, other.Name)
	}
	n.standing = v
	n.start, err = n.store.NextLife(n.Name, n.life)
	return err
}

// Run has the node take part until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, n.stop)
	defer stop()
	votes := n.standing != nil
	for id, c := range n.conns {
		if votes {
			n.out[id] = make(chan *pb.Message, outMost)
		}
		n.run.Go(func() { n.attendTo(c) })
	}
	if votes {
		n.run.Go(n.takePart)
	}
	n.run.Go(n.takes)
	n.run.Wait()
}

// takePart has the voter take part, once it has been admitted.
func (n *Node) takePart() {
	if !n.admit() {
		return
	}
	for id, queue := range n.out {
		n.run.Go(func() { n.carryTo(id, n.conns[id], queue) })
	}
	n.run.Go(n.tick)
	n.run.Go(n.attendSelf)
	n.run.Go(n.releases)
}

// Close ends what Open opened; Run must have returned.
func (n *Node) Close() error {
	n.stop()
	for _, c := range n.conns {
		c.Close()
	}
	return n.store.Close()
}

// May tells whether the program may act, at this moment, on what it was given last.
func (n *Node) May() bool {
	a := n.acting.Load()
	return a != nil && n.Clock() < a.until
}

// The voter.

func (n *Node) votes() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter != nil
}

// state gives what the log says here; nil: this node has none.
func (n *Node) state() *agree.State {
	s, _ := n.newState()
	return s
}

// newState gives the state, nil if this node has none, with a channel that is closed when there is another.
func (n *Node) newState() (*agree.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return nil, n.changed
	}
	return n.voter.State(), n.changed
}

// readAgain is how often a voter asks the leader how far the log goes until it has an answer.
const readAgain = 5 * agree.Tick

// present gives the state with all that was taken up anywhere before the call. What a voter has of the
// log may be behind: what it answers by that may have been true once.
func (n *Node) present(ctx context.Context) (*agree.State, error) {
	ctx, stop := context.WithTimeout(ctx, askFor)
	defer stop()
	first := uint64(0)
	read := func() error {
		return n.with(func(v *agree.Voter) error {
			if id := v.Read(); first == 0 {
				first = id
			}
			return nil
		})
	}
	again := time.NewTicker(readAgain)
	defer again.Stop()
	for err := read(); ; {
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		voter, changed := n.voter, n.changed
		if voter != nil && voter.Seen(first) {
			defer n.mu.Unlock()
			return voter.State(), nil
		}
		n.mu.Unlock()
		select {
		case <-changed:
		case <-again.C:
			err = read()
		case <-ctx.Done():
			return nil, status.Error(codes.Unavailable, "no leader of the log answers") // another voter may have one
		}
	}
}

func (n *Node) tick() {
	t := time.NewTicker(agree.Tick)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.with(func(v *agree.Voter) error { v.Tick(n.Clock()); return nil })
		}
	}
}

// with does something with the voter, and what follows from it.
func (n *Node) with(do func(v *agree.Voter) error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return errNoVoter
	}
	if err := do(n.voter); err != nil {
		return err
	}
	return n.pump()
}

// pump does what the voter wants done; n.mu is held. After a write that failed the node votes no more: what it
// has said may be lost.
func (n *Node) pump() error {
	before, reads := n.voter.State().Facts(), n.voter.Reads()
	for {
		w, some := n.voter.Ready()
		if !some {
			break
		}
		err := n.store.Save(w)
		var snap *pb.Snapshot
		if err == nil {
			for _, m := range w.Messages {
				n.post(m)
			}
			snap, err = n.voter.Done(w)
		}
		if err == nil && snap != nil {
			err = n.begin(snap)
		}
		if err != nil {
			n.breakOff(err)
			return err
		}
	}
	if now := n.voter.State(); now.Facts() != before || n.voter.Reads() != reads {
		n.tell()
	}
	return nil
}

// tell says that the state is another; n.mu is held.
func (n *Node) tell() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// breakOff has the node vote no more; n.mu is held.
func (n *Node) breakOff(err error) {
	n.broken, n.voter, n.standing = err, nil, nil
	n.Log.Error("this node votes no more", "err", err)
	n.tell()
}

// begin has the log begin anew, and forgets content that no version names.
func (n *Node) begin(snap *pb.Snapshot) error {
	if err := n.store.Begin(snap); err != nil {
		return err
	}
	keep := n.voter.State().Hashes()
	for h, at := range n.recent {
		if time.Since(at) < recentFor {
			keep[h] = 0
		} else {
			delete(n.recent, h)
		}
	}
	return n.store.Sweep(keep)
}

// post hands a message to who carries it; one that finds no place is lost.
func (n *Node) post(m *pb.Message) {
	select {
	case n.out[m.GetTo()] <- m:
	default:
		n.voter.Unreachable(m.GetTo())
		if m.GetType() == pb.MsgSnap {
			n.voter.SnapshotSent(m.GetTo(), false)
		}
	}
}

func (n *Node) step(m *pb.Message) error {
	return n.with(func(v *agree.Voter) error {
		if m.GetTo() != v.ID || !slices.Contains(v.Voters(), m.GetFrom()) || m.GetFrom() == v.ID {
			return errNoVoter
		}
		v.Step(m) // what it refuses is a message out of its time
		return nil
	})
}

func (n *Node) propose(e *agree.Entry) error {
	return n.with(func(v *agree.Voter) error { return v.Propose(e) })
}

func (n *Node) ask(a agree.Ask) (g agree.Grant, err error) {
	err = n.with(func(v *agree.Voter) error {
		if g, err = v.Ask(n.Clock(), a); err != nil {
			return err
		}
		v.Clear(n.Clock())
		return nil
	})
	return g, err
}

// The node's lease.

func (n *Node) nextAsk() (agree.Ask, <-chan struct{}) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	a := n.lease.Ask(n.Clock())
	a.Node, a.Life = n.Name, n.life
	return a, n.askNow
}

// asks has all voters asked at once.
func (n *Node) asks() {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	close(n.askNow)
	n.askNow = make(chan struct{})
}

// heard takes what a voter says.
func (n *Node) heard(g *agree.Grant, news *agree.Facts) {
	n.leaseMu.Lock()
	if g != nil {
		n.lease.Granted(*g)
	}
	if news != nil {
		n.lease.News(*news)
	}
	if a := n.acting.Load(); a != nil && !a.alone {
		n.acting.Store(&acting{rules: a.rules, until: n.until(a.rules)})
	}
	n.leaseMu.Unlock()
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// until gives when the lease for rules ends; n.leaseMu is held.
func (n *Node) until(r agree.Rules) time.Duration {
	now := n.Clock()
	if !n.lease.May(now, r) {
		return 0
	}
	return now + n.lease.Left(now, r)
}

func (n *Node) attendSelf() {
	t := time.NewTicker(n.Terms.Renew())
	defer t.Stop()
	for {
		_, changed := n.newState()
		a, now := n.nextAsk()
		if g, err := n.ask(a); err == nil {
			n.heard(&g, nil)
		}
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		case <-now:
		case <-changed:
		}
	}
}
