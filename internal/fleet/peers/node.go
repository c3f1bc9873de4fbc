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
	Fleet, Name  string
	Dir          string // of its store
	Voters       []Voter
	Lease        terms.LeaseConfig
	Disconnected terms.DisconnectedPolicy
	ServerTLS    *tls.Config // nil: clear text, on loopback alone
	ClientTLS    *tls.Config
	Log          *slog.Logger
	// Clock counts leases: it goes on while the process is suspended. nil: BootTime.
	Clock func() time.Duration
	// Parse reads a version's files by this program's checks: an error is why this node can't hold it.
	Parse func(list []config.File) (*agree.Version, error)
	// Extend is Parse for the files of a version that was read and changes of lists beside them; nil: all is read anew.
	Extend func(v *agree.Version, changes []config.File) (*agree.Version, error)
	// Take has the program act on something; what it took before is over when it returns.
	Apply func(a agree.EffectiveVersion) error
}

// Node is a node of a fleet. Create it with Open.
type Node struct {
	Config
	incarnation string
	store       *store.Store
	ctx         context.Context
	stop        context.CancelFunc
	background  sync.WaitGroup
	uploads     chan struct{}
	conns       map[uint64]*Conn // to voters but itself
	outbox      map[uint64]chan *pb.Message

	ownStart store.VoterStart // of a voter

	mu            sync.Mutex   // guards what follows
	unadmitted    *agree.Voter // that has not been admitted yet
	voter         *agree.Voter
	votingError   error         // why it votes no more
	stateChanged  chan struct{} // closed when the voter's state is another
	recentContent map[string]time.Time

	leaseMu  sync.Mutex
	lease    *agree.Lease
	renewNow chan struct{} // closed to have all voters asked

	applied atomic.Pointer[appliedRules]
	wake    chan struct{}

	versionsMu sync.Mutex
	versions   map[uint64]*agree.Version
	rejected   map[uint64]string
	fetching   map[uint64]bool
	manifests  map[uint64]*agree.Manifest // of those held

	parseMu         sync.Mutex // guards the version that was read whole last
	lastParsed      *agree.Version
	lastParsedParts []agree.Part

	ownership ownership
}

// appliedRules is what the program acts on, and until when on the node's clock.
type appliedRules struct {
	rules        agree.ActiveRules
	disconnected bool
	until        time.Duration
}

const (
	maxOutbox              = 1024 // messages to a voter that wait; raft sends again what is lost
	maxCachedVersions      = 4    // versions that are kept read
	retryDelay             = 100 * time.Millisecond
	recentContentRetention = time.Minute // content that no version names yet is kept so long
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
	return s.Init(store.Identity{Fleet: c.Fleet, Name: c.Name, ID: voterID(c.Name), Voters: voterIDs(c.Voters)})
}

func voterIDs(voters []Voter) (list []uint64) {
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
		Config: c, incarnation: NewID(), uploads: make(chan struct{}, maxUploads), conns: map[uint64]*Conn{}, outbox: map[uint64]chan *pb.Message{},
		stateChanged: make(chan struct{}), recentContent: map[string]time.Time{}, renewNow: make(chan struct{}), wake: make(chan struct{}, 1),
		versions: map[uint64]*agree.Version{}, rejected: map[uint64]string{}, fetching: map[uint64]bool{}, manifests: map[uint64]*agree.Manifest{},
	}
	var err error
	if n.store, err = store.Open(c.Dir); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.lease = agree.NewLease(c.Lease, len(c.Voters), n.hasVersion)
	if err := n.connect(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) connect() error {
	own := voterID(n.Name)
	for _, v := range n.Voters {
		if v.ID() == own {
			if err := n.loadVoter(own); err != nil {
				return err
			}
			if n.unadmitted != nil {
				continue
			}
		}
		c, err := Dial(v, n.ClientTLS, n.Fleet)
		if err != nil {
			return err
		}
		n.conns[v.ID()] = c
	}
	return nil
}

// loadVoter takes up the voter of the store; none, if the store was not made one's.
func (n *Node) loadVoter(own uint64) error {
	id, disk, err := n.store.Voter()
	if errors.Is(err, store.ErrNotInitialized) {
		n.Log.Warn("this node is named as a voter and its store is none's: it follows, and doesn't vote", "store", n.Dir)
		return nil
	}
	if err != nil {
		return err
	}
	if id.Fleet != n.Fleet || id.ID != own || !slices.Equal(id.Voters, voterIDs(n.Voters)) {
		return fmt.Errorf("%s: the store is of the voter %s of the fleet %q, among others: %s", n.Dir, id.Name, id.Fleet, "the configuration names another, or other voters")
	}
	v, err := agree.NewVoter(n.Clock(), own, n.Lease, disk)
	if err != nil {
		return err
	}
	v.Tasks, v.Incarnation = singletonTasks(), rand.Uint64()
	for _, other := range n.Voters {
		v.EligibleOwners = append(v.EligibleOwners, other.Name)
	}
	n.unadmitted = v
	n.ownStart, err = n.store.NextStart(n.Name, n.incarnation)
	return err
}

// Run has the node take part until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, n.stop)
	defer stop()
	votes := n.unadmitted != nil
	for id, c := range n.conns {
		if votes {
			n.outbox[id] = make(chan *pb.Message, maxOutbox)
		}
		n.background.Go(func() { n.renewLeaseWith(c) })
	}
	if votes {
		n.background.Go(n.runVoter)
	}
	n.background.Go(n.reconcile)
	n.background.Wait()
}

// runVoter has the voter take part, once it has been admitted.
func (n *Node) runVoter() {
	if !n.admit() {
		return
	}
	for id, queue := range n.outbox {
		n.background.Go(func() { n.sendRaftMessages(id, n.conns[id], queue) })
	}
	n.background.Go(n.runTicker)
	n.background.Go(n.renewOwnLease)
	n.background.Go(n.runReleases)
}

// Close ends what Open opened; Run must have returned.
func (n *Node) Close() error {
	n.stop()
	for _, c := range n.conns {
		c.Close()
	}
	return n.store.Close()
}

// MayServe tells whether the program may act, at this moment, on what it was given last.
func (n *Node) MayServe() bool {
	a := n.applied.Load()
	return a != nil && n.Clock() < a.until
}

// The voter.

func (n *Node) isVoter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter != nil
}

// state gives what the log says here; nil: this node has none.
func (n *Node) state() *agree.State {
	s, _ := n.stateAndChange()
	return s
}

// stateAndChange gives the state, nil if this node has none, with a channel that is closed when there is another.
func (n *Node) stateAndChange() (*agree.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return nil, n.stateChanged
	}
	return n.voter.State(), n.stateChanged
}

// readRetryInterval is how often a voter asks the leader how far the log goes until it has an answer.
const readRetryInterval = 5 * agree.Tick

// currentState gives the state with all that was taken up anywhere before the call. What a voter has of the
// log may be behind: what it answers by that may have been true once.
func (n *Node) currentState(ctx context.Context) (*agree.State, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	first := uint64(0)
	read := func() error {
		return n.withVoter(func(v *agree.Voter) error {
			if id := v.StartRead(); first == 0 {
				first = id
			}
			return nil
		})
	}
	again := time.NewTicker(readRetryInterval)
	defer again.Stop()
	for err := read(); ; {
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		voter, changed := n.voter, n.stateChanged
		if voter != nil && voter.ReadDone(first) {
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

func (n *Node) runTicker() {
	t := time.NewTicker(agree.Tick)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.withVoter(func(v *agree.Voter) error { v.Tick(n.Clock()); return nil })
		}
	}
}

// withVoter does something with the voter, and what follows from it.
func (n *Node) withVoter(do func(v *agree.Voter) error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return errNotVoter
	}
	if err := do(n.voter); err != nil {
		return err
	}
	return n.processReady()
}

// processReady does what the voter wants done; n.mu is held. After a write that failed the node votes no more: what it
// has said may be lost.
func (n *Node) processReady() error {
	before, reads := n.voter.State().LogStatus(), n.voter.ReadsAnswered()
	for {
		w, some := n.voter.Ready()
		if !some {
			break
		}
		err := n.store.Save(w)
		var snap *pb.Snapshot
		if err == nil {
			for _, m := range w.Messages {
				n.send(m)
			}
			snap, err = n.voter.Advance(w)
		}
		if err == nil && snap != nil {
			err = n.compactLog(snap)
		}
		if err != nil {
			n.stopVoting(err)
			return err
		}
	}
	if now := n.voter.State(); now.LogStatus() != before || n.voter.ReadsAnswered() != reads {
		n.notifyStateChanged()
	}
	return nil
}

// notifyStateChanged says that the state is another; n.mu is held.
func (n *Node) notifyStateChanged() {
	close(n.stateChanged)
	n.stateChanged = make(chan struct{})
}

// stopVoting has the node vote no more; n.mu is held.
func (n *Node) stopVoting(err error) {
	n.votingError, n.voter, n.unadmitted = err, nil, nil
	n.Log.Error("this node votes no more", "err", err)
	n.notifyStateChanged()
}

// compactLog has the log begin anew, and forgets content that no version names.
func (n *Node) compactLog(snap *pb.Snapshot) error {
	if err := n.store.CompactTo(snap); err != nil {
		return err
	}
	keep := n.voter.State().ContentHashes()
	for h, at := range n.recentContent {
		if time.Since(at) < recentContentRetention {
			keep[h] = 0
		} else {
			delete(n.recentContent, h)
		}
	}
	return n.store.Sweep(keep)
}

// send hands a message to who carries it; one that finds no place is lost.
func (n *Node) send(m *pb.Message) {
	select {
	case n.outbox[m.GetTo()] <- m:
	default:
		n.voter.Unreachable(m.GetTo())
		if m.GetType() == pb.MsgSnap {
			n.voter.SnapshotSent(m.GetTo(), false)
		}
	}
}

func (n *Node) receive(m *pb.Message) error {
	return n.withVoter(func(v *agree.Voter) error {
		if m.GetTo() != v.ID || !slices.Contains(v.Voters(), m.GetFrom()) || m.GetFrom() == v.ID {
			return errNotVoter
		}
		v.Step(m) // what it refuses is a message out of its time
		return nil
	})
}

func (n *Node) propose(e *agree.Entry) error {
	return n.withVoter(func(v *agree.Voter) error { return v.Propose(e) })
}

func (n *Node) grantLease(a agree.LeaseRequest) (g agree.Grant, err error) {
	err = n.withVoter(func(v *agree.Voter) error {
		if g, err = v.GrantLease(n.Clock(), a); err != nil {
			return err
		}
		v.AcknowledgeEpoch(n.Clock())
		return nil
	})
	return g, err
}

// The node's lease.

func (n *Node) nextLeaseRequest() (agree.LeaseRequest, <-chan struct{}) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	a := n.lease.NextRequest(n.Clock())
	a.Node, a.Incarnation = n.Name, n.incarnation
	return a, n.renewNow
}

// renewLeasesNow has all voters asked at once.
func (n *Node) renewLeasesNow() {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	close(n.renewNow)
	n.renewNow = make(chan struct{})
}

// handleLeaseReply takes what a voter says.
func (n *Node) handleLeaseReply(g *agree.Grant, news *agree.LogStatus) {
	n.leaseMu.Lock()
	if g != nil {
		n.lease.HandleGrant(*g)
	}
	if news != nil {
		n.lease.UpdateLogStatus(*news)
	}
	if a := n.applied.Load(); a != nil && !a.disconnected {
		n.applied.Store(&appliedRules{rules: a.rules, until: n.leaseEnd(a.rules)})
	}
	n.leaseMu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// leaseEnd gives when the lease for rules ends; n.leaseMu is held.
func (n *Node) leaseEnd(r agree.ActiveRules) time.Duration {
	now := n.Clock()
	if !n.lease.Permits(now, r) {
		return 0
	}
	return now + n.lease.Remaining(now, r)
}

func (n *Node) renewOwnLease() {
	t := time.NewTicker(n.Lease.RenewInterval())
	defer t.Stop()
	for {
		_, changed := n.stateAndChange()
		a, now := n.nextLeaseRequest()
		if g, err := n.grantLease(a); err == nil {
			n.handleLeaseReply(&g, nil)
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
