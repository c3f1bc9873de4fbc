package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"yokestall/internal/adminstate"
)

// peerPollInterval is the interval at which Commit checks whether all peers have applied the change.
const peerPollInterval = 2 * time.Millisecond

// ErrPeerUnresponsive is returned by Folder.Commit if the change is in the record and in force in this
// process, but another process of the node did not publish in time that it applied the change.
// Operators see its text.
var ErrPeerUnresponsive = errors.New(
	"the change is recorded and in force in this process, but not confirmed by another process of the node; repeat the command")

// AdminState is the administrative state of this process; adminstate.State has similar methods. The
// methods are called with the folder locked.
type AdminState interface {
	// Validate returns an error if a change can't be applied, and otherwise whether the change would
	// alter the state.
	Validate(c adminstate.Change) (effective bool, err error)
	// Apply applies a change. The change is in force once Apply returns.
	Apply(c adminstate.Change)
	// MinimalChanges returns the shortest list of changes that leads to the present state. The list
	// is never longer than that of the applied changes.
	MinimalChanges() []adminstate.Change
}

// Commit makes a change in all processes of the node. Under the folder's lock it first applies the changes
// that other processes have added to the record, and then validates the change, adds it to the record and
// applies it in this process. When Commit returns nil, the change is in force in every live process; a process
// that has just joined the folder applies it before it serves.
//
// After an error of AdminState.Validate the change was not made. After ErrPeerUnresponsive the change is in
// the record and in force in this process. Other errors leave open which of the two holds: the change was
// not made if Commit failed before or while it wrote the record; it is in the record and in force in this
// process if Commit then failed to publish the presence or to list the peers. Calling Commit again is safe,
// since a change that is already in force has no effect.
func (f *Folder) Commit(ctx context.Context, c adminstate.Change, state AdminState) error {
	seq, err := f.commitHere(ctx, c, state)
	if err != nil {
		return err
	}
	for {
		peers, err := f.Peers()
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(peers, func(p Presence) bool { return p.AppliedSeq < seq }) {
			return nil
		}
		select {
		case <-time.After(peerPollInterval):
		case <-ctx.Done():
			return ErrPeerUnresponsive
		}
	}
}

// commitHere adds a change to the record and applies the change in this process. It returns the sequence
// number up to which the peers have to apply the record. An error of the last writePresence is returned
// although the change was applied.
func (f *Folder) commitHere(ctx context.Context, c adminstate.Change, state AdminState) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.presenceFile == nil {
		return 0, errClosed
	}
	if err := f.acquireLock(ctx); err != nil {
		return 0, err
	}
	defer f.releaseLock()
	entries, damage := f.readRecord()
	if err := f.applyUndelivered(entries, state); err != nil {
		return 0, err
	}
	if hasGap(entries, f.deliveredSeq) { // the state of this process still has the entries that both copies have lost
		entries, damage = f.minimalEntries(state), errDamaged
	}
	effective, err := state.Validate(c)
	if err != nil {
		return 0, err
	}
	if !effective {
		return f.deliveredSeq, nil
	}
	e := recordEntry{f.deliveredSeq + 1, c}
	if err := f.appendToRecord(entries, damage, e); err != nil {
		return 0, fmt.Errorf("the record can't be written, so nothing was done: %w", err)
	}
	f.deliveredSeq = e.seq
	state.Apply(c)
	f.self.AppliedSeq = e.seq
	if err := f.writePresence(); err != nil {
		return 0, err
	}
	return f.deliveredSeq, nil
}

// ApplyPending applies the changes that other processes have added to the record, and publishes the new
// AppliedSeq. While another process holds the folder's lock, ApplyPending does nothing and leaves these
// changes to its next call.
func (f *Folder) ApplyPending(state AdminState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.presenceFile == nil || tryLock(f.lockFile) != nil {
		return nil
	}
	defer f.releaseLock()
	entries, _ := f.readRecord()
	return f.applyUndelivered(entries, state)
}

// applyUndelivered applies those changes of the entries that were neither passed to the AdminState nor returned
// by Join yet, and publishes the new AppliedSeq. The caller holds f.mu.
func (f *Folder) applyUndelivered(entries []recordEntry, state AdminState) error {
	before := f.deliveredSeq
	for _, c := range f.takeUndelivered(entries) {
		state.Apply(c)
	}
	if f.deliveredSeq == before {
		return nil
	}
	f.self.AppliedSeq = f.deliveredSeq
	return f.writePresence()
}
