package node

import (
	"context"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/hotrestart"
	"yokestall/internal/hotrestart/snapshot"
)

const (
	// snapshotTimeout limits both how long a successor waits for its predecessor's snapshot, and how long the predecessor
	// takes to collect it.
	snapshotTimeout      = 700 * time.Millisecond
	snapshotPollInterval = 2 * time.Millisecond
)

// receivedSnapshot is a snapshot received from a predecessor, with its age at that time.
type receivedSnapshot struct {
	snapshot.Snapshot
	age time.Duration
}

// initialList returns the snapshot's endpoint list, or the configured list if the snapshot's list can't be used.
func (s *receivedSnapshot) initialList(configured endpointList) endpointList {
	if !s.HasList || len(s.Instances) == 0 || len(s.Instances) > discovery.MaxInstances {
		return configured
	}
	return endpointList{Generation: s.Generation, Full: true, Instances: s.Instances}
}

// receiveSnapshot waits for a predecessor's snapshot, for snapshotTimeout at most. It returns nil if there is no running
// predecessor, or if no usable snapshot arrives in time.
func (r *restartCoordinator) receiveSnapshot(ctx context.Context) *receivedSnapshot {
	if r.folder == nil {
		return nil
	}
	deadline := time.Now().Add(snapshotTimeout)
	for r.hasPredecessor() && time.Now().Before(deadline) && ctx.Err() == nil {
		if data := r.folder.TakeSnapshot(); data != nil {
			return r.decodeSnapshot(data)
		}
		r.refresh()
		pause(ctx, snapshotPollInterval)
	}
	return nil
}

// decodeSnapshot decodes a predecessor's snapshot. It returns nil if no part of the snapshot is usable.
func (r *restartCoordinator) decodeSnapshot(data []byte) *receivedSnapshot {
	s, age, invalid, err := snapshot.Decode(data, r.cfg.Name, r.cfg.classNames(), time.Now())
	if err != nil {
		r.log.Warn("snapshot of the predecessor rejected", "err", err)
		return nil
	}
	if len(invalid) > 0 {
		r.log.Warn("parts of the predecessor's snapshot rejected", "parts", len(invalid), "first_err", invalid[0])
	}
	r.log.Info("snapshot of the predecessor received",
		"endpoints", len(s.Policy.Endpoints), "age_ms", age.Milliseconds())
	return &receivedSnapshot{s, age}
}

// sendSnapshotOnce writes a snapshot for the latest successor, unless a snapshot was already written for it.
func (r *restartCoordinator) sendSnapshotOnce(ctx context.Context) {
	successor, ok := r.latestSuccessor()
	if !ok || successor <= r.snapshotSentTo {
		return
	}
	r.snapshotSentTo = successor
	if err := r.sendSnapshot(ctx, successor); err != nil {
		r.log.Warn("sending a snapshot to the successor failed", "err", err)
	}
}

// latestSuccessor returns the number of the latest successor. ok is false if there is none, or if this process is still
// starting and has no state to pass on.
func (r *restartCoordinator) latestSuccessor() (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == hotrestart.PhaseStarting || len(r.peers) == 0 {
		return 0, false
	}
	number = r.peers[len(r.peers)-1].Number
	return number, number > r.folder.Self().Number
}

// sendSnapshot writes a snapshot of this process's endpoint list and policy state for a successor.
func (r *restartCoordinator) sendSnapshot(ctx context.Context, successor uint64) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	state, err := r.node.cluster.Snapshot(ctx)
	if err != nil {
		return err
	}
	list := r.node.endpoints.currentList()
	data, err := snapshot.Encode(snapshot.Snapshot{
		Node: r.cfg.Name, TakenAtMs: time.Now().UnixMilli(), Classes: r.cfg.classNames(),
		Generation: list.Generation, HasList: list.Full, Instances: list.Instances,
		Policy: snapshot.FromPolicy(state, r.node.clock),
	})
	if err != nil {
		return err
	}
	return r.folder.WriteSnapshot(successor, data)
}
