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

// VoterAddress is the name and the address of a voter of the fleet.
type VoterAddress struct{ Name, Address string }

// ID returns the voter's id in the log.
func (v VoterAddress) ID() uint64 { return voterID(v.Name) }

// voterID returns the id in the log of the voter of a name: its FNV-1a hash.
func voterID(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return max(1, h.Sum64()) // 0 is no voter
}

func hash(data []byte) string { return store.Hash(data) }

func voterIDs(voters []VoterAddress) (ids []uint64) {
	for _, v := range voters {
		ids = append(ids, v.ID())
	}
	slices.Sort(ids)
	return ids
}

// Config configures a node.
type Config struct {
	Fleet, Name  string         // of the fleet, and of this node
	Dir          string         // folder of the store
	Voters       []VoterAddress // all voters of the fleet, this node included if it is one
	Lease        lease.Config
	Disconnected lease.DisconnectedPolicy // after the lease has expired
	ServerTLS    *tls.Config              // nil: clear text, for loopback only
	ClientTLS    *tls.Config              // nil: clear text
	Log          *slog.Logger
	// Clock measures leases. It has to advance while the process is suspended. nil: BootTime.
	Clock func() time.Duration
	// Parse parses and validates a version's files. An error means that this node can't use the version.
	Parse func(list []config.File) (*consensus.Version, error)
	// Extend applies changes of cluster lists to a version that Parse returned; nil: every version is parsed completely.
	Extend func(v *consensus.Version, changes []config.File) (*consensus.Version, error)
	// Apply makes the program act on a version. The program no longer acts on the one before when Apply returns.
	Apply func(v consensus.EffectiveVersion) error
	Hooks
}

// Node is a node of a fleet: a voter of the log, or a follower that only applies versions. Create it with Open.
//
// The goroutines in background end when ctx is canceled, and Run waits for them. Where several locks are needed, they
// are taken in this order: leaseMu, versionsMu, mu. parseMu is taken alone.
type Node struct {
	Config
	incarnation string                      // of this process
	store       *store.Store                // closed by Close
	ctx         context.Context             // canceled when the node stops
	stop        context.CancelFunc          // cancels ctx
	background  sync.WaitGroup              // the goroutines that Run waits for
	uploads     chan struct{}               // one token for each upload of content in progress
	outbox      map[uint64]chan *pb.Message // raft messages for the other voters, by id; constant once Run has begun
	ownStart    store.VoterStart            // of a voter; constant after Open

	// conns are the connections to the other voters, by id. One to itself is among them on a node that the configuration
	// names as a voter and whose store is not initialized. Constant after Open.
	conns map[uint64]*Conn

	mu            sync.Mutex           // guards unadmitted to recentContent
	unadmitted    *consensus.Voter     // the voter until the other voters admit it; nil on a follower
	voter         *consensus.Voter     // the voter once it is admitted; nil on a follower
	votingError   error                // why this node no longer votes
	stateChanged  chan struct{}        // closed, and replaced, when the voter's state changes
	recentContent map[string]time.Time // when content was stored that no version may name yet, by hash

	leaseMu  sync.Mutex       // guards lease and renewNow, and writes of applied that depend on the lease
	lease    *consensus.Lease // this node's side of its leases
	renewNow chan struct{}    // closed, and replaced, to renew the lease at all voters at once

	applied atomic.Pointer[appliedVersions] // nil: the program acts on nothing
	wake    chan struct{}                   // wakes reconcile

	versionsMu sync.Mutex                     // guards versions to fetching
	versions   map[uint64]*consensus.Version  // the cache, by number
	manifests  map[uint64]*consensus.Manifest // of the cached versions
	unusable   map[uint64]string              // why this node can't use a version, by number
	fetching   map[uint64]bool                // versions with a fetchVersion in progress

	parseMu         sync.Mutex         // guards lastParsed and lastParsedParts, and serializes Parse
	lastParsed      *consensus.Version // the last version that Parse returned
	lastParsedParts []consensus.Part   // of lastParsed

	ownership ownership // has a lock of its own, which is never held together with another
}

// appliedVersions is what the program acts on.
type appliedVersions struct {
	versions     consensus.ActiveVersions // with disconnected: those it acted on last
	disconnected bool                     // restricted by the disconnected policy
	until        time.Duration            // end of the lease, or of disconnected service, on the node's clock
}

const (
	// maxOutbox is how many raft messages may wait for one voter. Raft repeats those that are dropped.
	maxOutbox = 1024
	// maxCachedVersions is how many versions are cached besides those of the present epoch.
	maxCachedVersions = 4
	// retryDelay is the time between two attempts to fetch a version, or to report a refusal.
	retryDelay = 100 * time.Millisecond
	// recentContentRetention is how long content is retained that no version names yet.
	recentContentRetention = time.Minute
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
		unusable: map[uint64]string{}, fetching: map[uint64]bool{},
	}
	var err error
	if n.store, err = store.Open(c.Dir); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.lease = consensus.NewLease(c.Lease, len(c.Voters), n.hasOrFetch)
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
		n.Log.Warn("voter's store not initialized, following without voting", "store", n.Dir)
		return nil
	}
	if err != nil {
		return err
	}
	if id.Fleet != n.Fleet || id.ID != own || !slices.Equal(id.Voters, voterIDs(n.Voters)) {
		return fmt.Errorf("%s: the store is of the voter %s of the fleet %q, among others: "+
			"the configuration names another, or other voters", n.Dir, id.Name, id.Fleet)
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

// Run runs the node until ctx ends. It returns once all goroutines of the node have ended.
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
