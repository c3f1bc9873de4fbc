package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/adminstate"
	"yokestall/internal/connlimit"
	"yokestall/internal/discovery"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/engine"
	"yokestall/internal/hotrestart"
	"yokestall/internal/hotrestart/snapshot"
	"yokestall/internal/upstream/h1client"
)

const (
	// lookAlone is how often a process looks whether a later one has come, and lookOften how
	// often while there is another.
	lookAlone = 50 * time.Millisecond
	lookOften = 10 * time.Millisecond
	// heirWaits is how long a later process waits at most for what the earlier one knows.
	heirWaits = 700 * time.Millisecond
	heirLooks = 2 * time.Millisecond
	// listWaits is how long it then waits for a list of servers before it takes clients.
	listWaits = 4 * time.Second
	// coarse is how many descriptors a change of the split has to move to be worth one.
	coarse = 8
)

// shared is a process's part in a node that two of them may be. The nil one is alone for good.
type shared struct {
	folder *hotrestart.Folder // nil: the folder can't be used, and why says so
	why    error
	sharedParts

	mu    sync.Mutex
	phase hotrestart.Phase
	peers []hotrestart.Presence
	held  int    // as split last
	gave  uint64 // the latest process that was given what is known; of run alone
}

// sharedParts are what it works on.
type sharedParts struct {
	cfg     *Config
	clock   engine.Clock
	cluster *engine.Cluster
	front   *h1server.Front
	pool    *h1client.Pool
	admin   *admin
	log     *slog.Logger
}

// join takes part in the node's folder, and has what operators have asked for in force.
func join(p sharedParts) *shared {
	s := &shared{sharedParts: p, held: p.cfg.Limits.Sockets}
	folder, changes, err := hotrestart.Join(p.cfg.Shared, p.cfg.Name+" "+p.cfg.Listen, p.log)
	if err != nil {
		p.log.Error("no record of operators' calls can be kept", "err", err)
		s.why = err
		return s
	}
	for _, c := range changes {
		p.admin.Take(c)
	}
	s.folder = folder
	s.look()
	return s
}

// close leaves the folder.
func (s *shared) close() {
	if s != nil && s.folder != nil {
		s.folder.Close()
	}
}

// commit carries out a change in all processes of the node.
func (s *shared) commit(ctx context.Context, c adminstate.Change, to hotrestart.Admin) error {
	if s.folder == nil {
		return fmt.Errorf("nothing was done, since it would be forgotten: %w", s.why)
	}
	return s.folder.Commit(ctx, c, to)
}

// serving tells whether this process has told the others that it takes clients.
func (s *shared) serving() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == hotrestart.Serving
}

// be tells the others how far this process is.
func (s *shared) be(p hotrestart.Phase) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.phase = p
	s.mu.Unlock()
	s.look()
}

// succeeded tells whether a later process takes the clients.
func (s *shared) succeeded() bool {
	if s == nil || s.folder == nil {
		return false
	}
	s.look()
	s.mu.Lock()
	defer s.mu.Unlock()
	return hotrestart.Successor(s.folder.Me(), s.peers)
}

// heir tells whether an earlier process lives.
func (s *shared) heir() bool {
	if s == nil || s.folder == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) > 0 && s.peers[0].Number < s.folder.Me().Number
}

// run follows the other processes of the node until the context ends.
func (s *shared) run(ctx context.Context) {
	if s.folder == nil {
		return
	}
	for ctx.Err() == nil {
		wait := lookAlone
		if s.look() {
			wait = lookOften
			s.handOn(ctx)
		}
		if err := s.folder.Follow(s.admin); err != nil {
			s.log.Warn("operators' record", "err", err)
		}
		if wait == lookAlone {
			if err := s.folder.Compact(s.admin); err != nil {
				s.log.Warn("operators' record", "err", err)
			}
		}
		pause(ctx, wait)
	}
}

// handOn leaves what this process knows for a later one, once.
func (s *shared) handOn(ctx context.Context) {
	s.mu.Lock()
	last, starting := uint64(0), s.phase == hotrestart.Starting
	if n := len(s.peers); n > 0 {
		last = s.peers[n-1].Number
	}
	s.mu.Unlock()
	if starting || last <= max(s.gave, s.folder.Me().Number) {
		return
	}
	s.gave = last
	if err := s.give(ctx, last); err != nil {
		s.log.Warn("what is known can't be handed on", "err", err)
	}
}

// look takes in who else is there and keeps this process to its part of the descriptors.
func (s *shared) look() (others bool) {
	if s.folder == nil {
		return false
	}
	peers, err := s.folder.Peers()
	if err != nil {
		s.log.Warn("the node's other processes", "err", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.front.Connections() + s.pool.Open() + ownDescriptors + adminapi.Descriptors
	hold, yields := hotrestart.Hold(s.cfg.Limits.Sockets, own, s.folder.Me(), peers)
	if joined := len(peers) > len(s.peers); joined || len(peers) < len(s.peers) {
		s.log.Info("processes of the node", "others", len(peers), "descriptors", hold)
		s.cluster.SetSlowStartShare(1 / float64(len(peers)+1))
	}
	s.peers = peers
	if s.phase == hotrestart.Leaving {
		s.held = hold // what it has goes by itself; to make idle connections go would cost requests
	} else if hold < s.held || hold >= s.held+coarse || hold == s.cfg.Limits.Sockets && hold > s.held {
		s.resize(hold)
	}
	tell := s.held
	if len(peers) == 0 {
		tell = min(tell, own)
	}
	if err := s.folder.Tell(s.phase, tell, yields); err != nil {
		s.log.Warn("the node's other processes", "err", err)
	}
	return len(peers) > 0
}

// resize splits what this process may hold among clients and servers; s.mu is held.
func (s *shared) resize(hold int) {
	s.held = hold
	servers, places, err := s.cfg.split(hold)
	if err != nil {
		return // fewer than any process can work with: it stays as it was
	}
	s.pool.Limit(s.cfg.ConnectTimeout, servers)
	s.front.Resize(places)
}

var errFew = errors.New("limits: too few descriptors")

// split divides descriptors among servers and clients.
func (c *Config) split(descriptors int) (servers int, places connlimit.Limits, err error) {
	free := descriptors - ownDescriptors
	if c.Mgmt != "" {
		free -= adminapi.Descriptors
	}
	if free < 16 {
		return 0, places, errFew
	}
	servers = int(serversPart * float64(free))
	places, err = connlimit.Split(free-servers, int(c.ClientsPart*float64(descriptors)))
	return servers, places, err
}

// inherit waits for what an earlier process knows, for so long at most, and gives the list to
// start from. Without an earlier process, or with one that hangs, that is the configuration's.
func (s *shared) inherit(ctx context.Context) (start endpointList, taken *snapshot.Snapshot, age time.Duration) {
	start = s.cfg.Known
	if s.folder == nil {
		return start, nil, 0
	}
	for end := time.Now().Add(heirWaits); s.heir() && time.Now().Before(end) && ctx.Err() == nil; pause(ctx, heirLooks) {
		text := s.folder.Given()
		if text == nil {
			s.look()
			continue
		}
		snap, age, left, err := snapshot.Decode(text, s.cfg.Name, s.cfg.classNames(), time.Now())
		if err != nil {
			s.log.Warn("what the earlier process knows can't be used", "err", err)
			return start, nil, 0
		}
		if len(left) > 0 {
			s.log.Warn("some of what the earlier process knows can't be used", "first", left[0], "pieces", len(left))
		}
		s.log.Info("inherited", "servers", len(snap.Module.Servers), "age", age)
		if snap.Listed && len(snap.List) > 0 && len(snap.List) <= discovery.MaxInstances {
			start = endpointList{Generation: snap.Generation, Full: true, Instances: snap.List}
		}
		return start, &snap, age
	}
	return start, nil, 0
}

// give leaves what this process knows for a later one.
func (s *shared) give(ctx context.Context, to uint64) error {
	ctx, cancel := context.WithTimeout(ctx, heirWaits)
	defer cancel()
	k, err := s.cluster.Snapshot(ctx)
	if err != nil {
		return err
	}
	list := s.admin.disco.currentList()
	text, err := snapshot.Encode(snapshot.Snapshot{
		Node: s.cfg.Name, TakenMs: time.Now().UnixMilli(), Classes: s.cfg.classNames(),
		Generation: list.Generation, Listed: list.Full, List: list.Instances,
		Module: snapshot.FromModule(k, s.clock),
	})
	if err != nil {
		return err
	}
	return s.folder.Give(to, text)
}
