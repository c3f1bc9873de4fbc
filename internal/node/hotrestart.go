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
	// singleRefreshInterval is the interval at which a process without peers checks whether there is a peer, and
	// peerRefreshInterval the interval at which a process with peers reads their presences.
	singleRefreshInterval = 50 * time.Millisecond
	peerRefreshInterval   = 10 * time.Millisecond
	// minLimitIncrease is the smallest increase of this process's descriptor limit that is applied. Smaller increases
	// are applied only if the limit reaches that of the node.
	minLimitIncrease = 8
)

// restartCoordinator coordinates this process with the node's other processes during a hot restart, in which a successor
// replaces its predecessor. A nil *restartCoordinator stands for a node that always has a single process.
type restartCoordinator struct {
	cfg       *Config
	log       *slog.Logger
	node      *runningNode
	folder    *hotrestart.Folder // nil if the shared folder is unavailable; folderErr is the reason
	folderErr error

	// snapshotSentTo is the number of the latest successor to which a snapshot was sent. Only run uses it.
	snapshotSentTo uint64

	mu              sync.Mutex // guards the fields below
	phase           hotrestart.ProcessPhase
	peers           []hotrestart.Presence // sorted from the oldest process to the latest
	descriptorLimit int                   // the limit that was last applied
}

// joinNode registers this process in the node's shared folder, and applies the administrative changes of the
// administrative record.
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

// close removes this process from the shared folder.
func (r *restartCoordinator) close() {
	if r != nil && r.folder != nil {
		r.folder.Close()
	}
}

// commit applies a change in all processes of the node. It returns an error if the shared folder is unavailable, since the
// change could not be recorded.
func (r *restartCoordinator) commit(ctx context.Context, c adminstate.Change) error {
	if r.folder == nil {
		return fmt.Errorf("change not applied, since the shared folder to record it in is unavailable: %w", r.folderErr)
	}
	return r.folder.Commit(ctx, c, r.node.admin)
}

// serving reports whether this process is in PhaseServing. It returns true for a nil coordinator.
func (r *restartCoordinator) serving() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == hotrestart.PhaseServing
}

// advancePhase sets the phase of this process and publishes it.
func (r *restartCoordinator) advancePhase(p hotrestart.ProcessPhase) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.phase = p
	r.mu.Unlock()
	r.refresh()
}

// successorServing reports whether a successor accepts clients.
func (r *restartCoordinator) successorServing() bool {
	if r == nil || r.folder == nil {
		return false
	}
	r.refresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	return hotrestart.SuccessorServing(r.folder.Self(), r.peers)
}

// hasPredecessor reports whether a predecessor was running when the peers were last read.
func (r *restartCoordinator) hasPredecessor() bool {
	if r == nil || r.folder == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) > 0 && r.peers[0].Number < r.folder.Self().Number
}

// run follows the other processes of the node and the administrative record until ctx is done.
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

// refresh reads the presences of the other processes, applies this process's share of the descriptors and of the slow-start
// budgets, and publishes its own presence. It reports whether there are other processes.
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

// setPeers stores the presences of the other processes. A change of their number changes this process's share of the
// slow-start budgets, and is logged with the descriptor limit that results. r.mu is held.
func (r *restartCoordinator) setPeers(peers []hotrestart.Presence, limit int) {
	if len(peers) != len(r.peers) {
		r.log.Info("number of node processes changed", "peers", len(peers), "descriptor_limit", limit)
		r.node.cluster.SetSlowStartShare(1 / float64(len(peers)+1))
	}
	r.peers = peers
}

// publishPresence publishes this process's phase and the number of descriptors that the other processes must leave to it
// (hotrestart.Presence.Descriptors). open is the number of descriptors that this process has open, and successor the number
// of the process that it yields descriptors to. r.mu is held.
func (r *restartCoordinator) publishPresence(open int, successor uint64) {
	descriptors := r.descriptorLimit
	if len(r.peers) == 0 {
		descriptors = min(descriptors, open)
	}
	if err := r.folder.Publish(r.phase, descriptors, successor); err != nil {
		r.log.Warn("publishing this process's presence failed", "err", err)
	}
}

// openDescriptors returns the number of descriptors that this process has open, including those reserved for its own needs
// and for the admin API.
func (r *restartCoordinator) openDescriptors() int {
	connections := r.node.httpServer.Connections() + r.node.pool.OpenConnections()
	return connections + ownDescriptors + adminapi.MaxDescriptors
}

// applyDescriptorLimit applies a descriptor limit to this process, unless the limit is a small increase that stays below the
// node's limit. While the process drains, the limit is only stored: its connections end by themselves, and closing idle
// connections to meet the limit would fail requests. r.mu is held.
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

// resize applies a descriptor limit to the connections to endpoints and from clients. A limit that is too small to serve
// with leaves both as they are.
func (r *restartCoordinator) resize(limit int) {
	upstream, clients, err := r.cfg.splitDescriptors(limit)
	if err != nil {
		return
	}
	r.node.pool.SetLimits(r.cfg.ConnectTimeout, upstream)
	r.node.httpServer.SetConnectionLimits(clients)
}
