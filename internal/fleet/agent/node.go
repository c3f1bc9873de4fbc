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

// voterID returns the id that the voter of a name has in the log: the name's FNV-1a hash.
func voterID(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return max(1, h.Sum64()) // in raft, id 0 stands for no voter
}

func hash(data []byte) string { return store.ContentHash(data) }

// voterIDs returns the ids of voters in ascending order.
func voterIDs(voters []VoterAddress) (ids []uint64) {
	for _, v := range voters {
		ids = append(ids, v.ID())
	}
	slices.Sort(ids)
	return ids
}

// Config configures a node.
type Config struct {
	Fleet, Name  string         // names of the fleet and of this node
	Dir          string         // directory of the store
	Voters       []VoterAddress // all voters of the fleet, including this node if it is one
	Lease        lease.Config
	Disconnected lease.DisconnectedPolicy // applied after the lease has expired
	ServerTLS    *tls.Config              // nil: clear text, for loopback only
	ClientTLS    *tls.Config              // nil: clear text
	Log          *slog.Logger
	// Clock measures leases. It must also advance while the machine or the process is suspended. nil: BootTime.
	Clock func() time.Duration
	// Parse parses and validates a version's files. An error means that this node can't use the version.
	Parse func(list []config.File) (*consensus.Version, error)
	// Extend applies changes of endpoint lists to a version that Parse or Extend returned. If Extend is nil, every version
	// is parsed completely.
	Extend func(v *consensus.Version, changes []config.File) (*consensus.Version, error)
	// Apply makes the program act on a version. When Apply returns nil, the program no longer acts on the previous one.
	Apply func(v consensus.EffectiveVersion) error
	Hooks
}

// Node is a node of a fleet: a voter of the log, or a non-voter that only applies versions. Open creates a Node.
//
// The goroutines in background end when ctx is canceled, and Run waits for them. Several locks are always taken in this
// order: leaseMu, versionsMu, mu. No other lock of the node is held together with parseMu.
type Node struct {
	Config
	incarnation string                      // random id of this process
	store       *store.Store                // closed by Close
	ctx         context.Context             // canceled when the node stops
	stop        context.CancelFunc          // cancels ctx
	background  sync.WaitGroup              // the goroutines that Run waits for
	uploads     chan struct{}               // semaphore: has one element for each content upload in progress
	outbox      map[uint64]chan *pb.Message // queues of raft messages, by id of the voter; the map is constant once Run has begun
	ownStart    store.VoterStart            // this start of the voter, zero on a non-voter; constant after Open

	// conns are the connections to the other voters, by id. They include a connection to this node itself if the
	// configuration names it as a voter but its store is not initialized. Constant after Open.
	conns map[uint64]*Conn

	mu            sync.Mutex           // guards unadmitted to recentContent
	unadmitted    *consensus.Voter     // the voter until the other voters admit it; nil on a non-voter
	voter         *consensus.Voter     // the voter once it is admitted; nil on a non-voter
	votingError   error                // why this node has stopped voting
	stateChanged  chan struct{}        // closed, and replaced, when the voter's state changes
	recentContent map[string]time.Time // storage time, by hash, of content that no version may refer to yet

	leaseMu  sync.Mutex       // guards lease and renewNow, and writes of applied that depend on the lease
	lease    *consensus.Lease // the leases that voters have granted to this node
	renewNow chan struct{}    // closed, and replaced, to renew the lease at all voters at once

	applied atomic.Pointer[appliedVersions] // nil: the program has applied no version yet
	wake    chan struct{}                   // wakes reconcile

	versionsMu sync.Mutex                     // guards versions to fetching
	versions   map[uint64]*consensus.Version  // cached versions, by number
	manifests  map[uint64]*consensus.Manifest // manifests of the cached versions, by number
	unusable   map[uint64]string              // why this node can't use a version, by number
	fetching   map[uint64]bool                // numbers of the versions that fetchVersion is fetching

	parseMu         sync.Mutex         // guards lastParsed and lastParsedParts, and serializes Parse
	lastParsed      *consensus.Version // the last version that Parse returned
	lastParsedParts []consensus.Part   // the parts of lastParsed

	ownership ownership // has its own lock, which is never held together with another
}

// appliedVersions describes the versions that the program acts on, and for how long it may.
type appliedVersions struct {
	versions     consensus.ActiveVersions // if disconnected, the versions to which the disconnected policy was applied
	disconnected bool                     // whether the disconnected policy restricts the versions
	until        time.Duration            // end of the lease, or of disconnected service, on the node's clock
}

const (
	// maxOutbox is how many raft messages for one voter may be queued. Further messages are dropped, and raft resends them.
	maxOutbox = 1024
	// maxCachedVersions is how many versions are cached in addition to those of the current epoch.
	maxCachedVersions = 4
	// retryDelay is the time between two attempts to fetch a version, or to report a refusal.
	retryDelay = 100 * time.Millisecond
	// recentContentRetention is the shortest time for which stored content is retained if no version refers to it.
	recentContentRetention = time.Minute
)

// Init initializes the store in c.Dir for a voter of a new fleet.
func Init(c Config) error {
	s, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Init(store.VoterIdentity{Fleet: c.Fleet, Name: c.Name, ID: voterID(c.Name), Voters: voterIDs(c.Voters)})
}

// Open opens a node. The node is a voter if the configuration names it as one and its store was initialized by Init;
// otherwise it is a non-voter.
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

// loadVoter loads this node's voter from the store, and counts a start of it. If the store was not initialized by Init,
// the node remains a non-voter.
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
		return fmt.Errorf("%s: the store belongs to the voter %s of the fleet %q, but the configuration "+
			"names another node, another fleet or another set of voters", n.Dir, id.Name, id.Fleet)
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

// MayServe reports whether the program may act, at this moment, on the version that it applied last. The result must not
// be kept: the lease may expire at any time.
func (n *Node) MayServe() bool {
	a := n.applied.Load()
	return a != nil && n.Clock() < a.until
}

// sleep waits for the duration d, or until the node stops.
func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}
