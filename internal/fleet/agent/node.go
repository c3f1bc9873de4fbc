// Package agent runs a node of a fleet: it drives the state machines of fleet/agree with RPCs, a store and clocks,
// and has the program apply the configuration version that the node's lease permits.
package agent

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

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
	"yokestall/internal/fleet/store"
)

// Voter is the name and the address of a voter of the fleet.
type Voter struct{ Name, Address string }

// ID returns the voter's id in the log.
func (v Voter) ID() uint64 { return voterID(v.Name) }

func voterID(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return max(1, h.Sum64()) // 0 is no voter
}

func hash(data []byte) string { return store.Hash(data) }

func voterIDs(voters []Voter) (ids []uint64) {
	for _, v := range voters {
		ids = append(ids, v.ID())
	}
	slices.Sort(ids)
	return ids
}

// Config configures a node.
type Config struct {
	Fleet, Name  string
	Dir          string // of the store
	Voters       []Voter
	Lease        lease.Config
	Disconnected lease.DisconnectedPolicy
	ServerTLS    *tls.Config // nil: clear text, for loopback only
	ClientTLS    *tls.Config // nil: clear text
	Log          *slog.Logger
	// Clock measures leases. It has to advance while the process is suspended. nil: BootTime.
	Clock func() time.Duration
	// Parse parses and validates a version's files. An error means that this node can't use the version.
	Parse func(list []config.File) (*consensus.Version, error)
	// Extend applies changes of cluster lists to a version that Parse returned; nil: every version is parsed as a whole.
	Extend func(v *consensus.Version, changes []config.File) (*consensus.Version, error)
	// Apply makes the program act on a version. The program no longer acts on the one before when Apply returns.
	Apply func(v consensus.EffectiveVersion) error
	Hooks
}

// Node is a node of a fleet: a voter of the log, or a follower that only applies versions. Create it with Open.
type Node struct {
	Config
	incarnation string // of this process
	store       *store.Store
	ctx         context.Context
	stop        context.CancelFunc
	background  sync.WaitGroup
	uploads     chan struct{}               // a slot for each upload of content that is under way
	conns       map[uint64]*Conn            // to the other voters
	outbox      map[uint64]chan *pb.Message // raft messages for the other voters
	ownStart    store.VoterStart            // of a voter

	mu            sync.Mutex       // guards the fields up to recentContent
	unadmitted    *consensus.Voter // the voter until the other voters admit it
	voter         *consensus.Voter
	votingError   error         // why this node no longer votes
	stateChanged  chan struct{} // closed when the voter's state changes
	recentContent map[string]time.Time

	leaseMu  sync.Mutex // guards the lease
	lease    *consensus.Lease
	renewNow chan struct{} // closed to renew the lease at all voters at once

	applied atomic.Pointer[appliedRules]
	wake    chan struct{} // wakes reconcile

	versionsMu sync.Mutex // guards the versions
	versions   map[uint64]*consensus.Version
	manifests  map[uint64]*consensus.Manifest // of versions
	rejected   map[uint64]string              // why this node can't use a version
	fetching   map[uint64]bool

	parseMu         sync.Mutex // guards the last version that was parsed as a whole
	lastParsed      *consensus.Version
	lastParsedParts []consensus.Part

	ownership ownership
}

// appliedRules is what the program acts on.
type appliedRules struct {
	rules        consensus.ActiveRules
	disconnected bool          // restricted by the disconnected policy
	until        time.Duration // on the node's clock
}

const (
	maxOutbox              = 1024 // messages to a voter; raft repeats those that are dropped
	maxCachedVersions      = 4    // besides those of the present epoch
	retryDelay             = 100 * time.Millisecond
	recentContentRetention = time.Minute // for content that no version names yet
)

// Init makes the store in c.Dir that of a voter of a new fleet.
func Init(c Config) error {
	s, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Init(store.Identity{Fleet: c.Fleet, Name: c.Name, ID: voterID(c.Name), Voters: voterIDs(c.Voters)})
}

// Open opens a node. It is a voter if the configuration names it as one and its store was made by Init; otherwise it
// is a follower.
func Open(c Config) (*Node, error) {
	if c.Clock == nil {
		c.Clock = BootTime
	}
	n := &Node{
		Config: c, incarnation: NewID(), uploads: make(chan struct{}, maxUploads),
		conns: map[uint64]*Conn{}, outbox: map[uint64]chan *pb.Message{},
		stateChanged: make(chan struct{}), recentContent: map[string]time.Time{},
		renewNow: make(chan struct{}), wake: make(chan struct{}, 1),
		versions: map[uint64]*consensus.Version{}, manifests: map[uint64]*consensus.Manifest{},
		rejected: map[uint64]string{}, fetching: map[uint64]bool{},
	}
	var err error
	if n.store, err = store.Open(c.Dir); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.lease = consensus.NewLease(c.Lease, len(c.Voters), n.hasVersion)
	if err := n.connect(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

// connect loads this node's voter, if it has one, and creates connections to the others.
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
		c, err := Dial(v, n.ClientTLS, n.Fleet, n.dialOptions()...)
		if err != nil {
			return err
		}
		n.conns[v.ID()] = c
	}
	return nil
}

// loadVoter loads the voter from the store. There is none if the store was not made by Init.
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
	v, err := consensus.NewVoter(n.Clock(), own, n.Lease, disk)
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

// Run runs the node until ctx ends.
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

// Close closes the store and the connections. Run must have returned.
func (n *Node) Close() error {
	n.stop()
	for _, c := range n.conns {
		c.Close()
	}
	return n.store.Close()
}

// MayServe reports whether the program may act, at this moment, on what it applied last.
func (n *Node) MayServe() bool {
	a := n.applied.Load()
	return a != nil && n.Clock() < a.until
}

// sleep waits for a time, or until the node stops.
func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}
