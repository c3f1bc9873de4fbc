package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/adminstate"
	"yokestall/internal/hotrestart"
)

const (
	// singleRefreshInterval is how often a process without peers checks for one, and peerRefreshInterval
	// how often it reads the presences of those that it has.
	singleRefreshInterval = 50 * time.Millisecond
	peerRefreshInterval   = 10 * time.Millisecond
	// minLimitIncrease is the least increase of the descriptor limit that is applied before the limit
	// is the node's.
	minLimitIncrease = 8
)

// restartCoordinator is this process's part in a node that may have two processes while one replaces
// the other. A nil coordinator is that of a node which always has one process.
type restartCoordinator struct {
	cfg       *Config
	log       *slog.Logger
	node      *runningNode
	folder    *hotrestart.Folder // nil: the folder can't be used, for folderErr
	folderErr error

	// snapshotSentTo is the number of the latest successor that was sent a snapshot; of run alone.
	snapshotSentTo uint64

	mu              sync.Mutex // guards what follows
	phase           hotrestart.ProcessPhase
	peers           []hotrestart.Presence // the oldest first
	descriptorLimit int                   // as applied last
}

// joinNode makes this process a member of the node's shared folder, and applies the administrative
// changes on record.
func joinNode(cfg *Config, log *slog.Logger, running *runningNode) *restartCoordinator {
	r := &restartCoordinator{cfg: cfg, log: log, node: running, descriptorLimit: cfg.Limits.Sockets}
	folder, changes, err := hotrestart.Join(cfg.SharedDir, cfg.Name+" "+cfg.Listen, log)
	if err != nil {
		log.Error("shared folder unavailable, hot restart coordination and administrative changes disabled", "err", err)
		r.folderErr = err
		return r
	}
	for _, change := range changes {
		running.admin.Apply(change)
	}
	r.folder = folder
	r.refresh()
	return r
}

// close leaves the folder.
func (r *restartCoordinator) close() {
	if r != nil && r.folder != nil {
		r.folder.Close()
	}
}

// commit carries out a change in all processes of the node.
func (r *restartCoordinator) commit(ctx context.Context, c adminstate.Change) error {
	if r.folder == nil {
		return fmt.Errorf("nothing was done, since it would be forgotten: %w", r.folderErr)
	}
	return r.folder.Commit(ctx, c, r.node.admin)
}

// serving reports whether this process is in the phase in which it accepts clients.
func (r *restartCoordinator) serving() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == hotrestart.PhaseServing
}

// advancePhase enters a phase and publishes it.
func (r *restartCoordinator) advancePhase(p hotrestart.ProcessPhase) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.phase = p
	r.mu.Unlock()
	r.refresh()
}

// successorServing reports whether a successor accepts the clients.
func (r *restartCoordinator) successorServing() bool {
	if r == nil || r.folder == nil {
		return false
	}
	r.refresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	return hotrestart.SuccessorServing(r.folder.Self(), r.peers)
}

// hasPredecessor reports whether a predecessor lives.
func (r *restartCoordinator) hasPredecessor() bool {
	if r == nil || r.folder == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) > 0 && r.peers[0].Number < r.folder.Self().Number
}

// run follows the other processes of the node until the context ends.
func (r *restartCoordinator) run(ctx context.Context) {
	if r.folder == nil {
		return
	}
	for ctx.Err() == nil {
		interval := singleRefreshInterval
		hasPeers := r.refresh()
		if hasPeers {
			interval = peerRefreshInterval
			r.sendSnapshotOnce(ctx)
		}
		if err := r.folder.ApplyPending(r.node.admin); err != nil {
			r.log.Warn("following the administrative record failed", "err", err)
		}
		if !hasPeers {
			if err := r.folder.Compact(r.node.admin); err != nil {
				r.log.Warn("compacting the administrative record failed", "err", err)
			}
		}
		pause(ctx, interval)
	}
}

// refresh takes in the presences of the other processes, applies this one's part of the descriptors and of
// the slow-start budgets, and publishes its own presence. It reports whether there are other processes.
func (r *restartCoordinator) refresh() (hasPeers bool) {
	if r.folder == nil {
		return false
	}
	peers, err := r.folder.Peers()
	if err != nil {
		r.log.Warn("listing the node's processes failed", "err", err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.openDescriptors()
	limit, successor := hotrestart.DescriptorLimit(r.cfg.Limits.Sockets, open, r.folder.Self(), peers)
	r.setPeers(peers, limit)
	r.applyDescriptorLimit(limit)
	r.publishPresence(open, successor)
	return len(peers) > 0
}

// setPeers takes over the other processes. A change of their number changes this process's share of the
// slow-start budgets, and is logged with the descriptor limit that follows from it; r.mu is held.
func (r *restartCoordinator) setPeers(peers []hotrestart.Presence, limit int) {
	if len(peers) != len(r.peers) {
		r.log.Info("number of node processes changed", "peers", len(peers), "descriptor_limit", limit)
		r.node.cluster.SetSlowStartShare(1 / float64(len(peers)+1))
	}
	r.peers = peers
}

// publishPresence publishes this process's phase and descriptors, of which open are open: see
// hotrestart.Presence.Descriptors. successor is the process that it yields descriptors to; r.mu is held.
func (r *restartCoordinator) publishPresence(open int, successor uint64) {
	descriptors := r.descriptorLimit
	if len(r.peers) == 0 {
		descriptors = min(descriptors, open)
	}
	if err := r.folder.Publish(r.phase, descriptors, successor); err != nil {
		r.log.Warn("publishing this process's presence failed", "err", err)
	}
}

// openDescriptors returns how many descriptors this process has open, or may open by itself.
func (r *restartCoordinator) openDescriptors() int {
	connections := r.node.httpServer.Connections() + r.node.pool.OpenConnections()
	return connections + ownDescriptors + adminapi.MaxDescriptors
}

// applyDescriptorLimit applies a limit of this process's descriptors, unless it is a small increase
// below the node's limit; r.mu is held. While the process drains, its connections end by themselves:
// closing idle ones for the limit's sake would cost requests.
func (r *restartCoordinator) applyDescriptorLimit(limit int) {
	if r.phase == hotrestart.PhaseDraining {
		r.descriptorLimit = limit
		return
	}
	current := r.descriptorLimit
	reachesNodeLimit := limit == r.cfg.Limits.Sockets && limit > current
	if limit < current || limit >= current+minLimitIncrease || reachesNodeLimit {
		r.descriptorLimit = limit
		r.resize(limit)
	}
}

// resize splits a descriptor limit into connections to endpoints and from clients. A limit too small to
// serve with leaves the present split.
func (r *restartCoordinator) resize(limit int) {
	upstream, clients, err := r.cfg.splitDescriptors(limit)
	if err != nil {
		return
	}
	r.node.pool.SetLimits(r.cfg.ConnectTimeout, upstream)
	r.node.httpServer.SetConnectionLimits(clients)
}
