package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"yokestall/internal/adminstate"
)

// peerPollInterval is how often Commit checks whether the peers have applied the change.
const peerPollInterval = 2 * time.Millisecond

// ErrPeerUnresponsive is returned by Commit for a change that is on record and in force in this
// process, while another process of the node has not published that it applied it. Operators see its
// text.
var ErrPeerUnresponsive = errors.New(
	"done in this process and on record, but the node's other process does not answer; call again")

// AdminState is the administrative state of this process, as adminstate.State has it. Its methods are
// called with the folder locked.
type AdminState interface {
	// Validate returns why a change can't be applied, and otherwise whether it has an effect.
	Validate(c adminstate.Change) (effective bool, err error)
	// Apply applies a change, which is in force when it returns.
	Apply(c adminstate.Change)
	// MinimalChanges returns the shortest list of changes that leads to the present state. It is
	// never longer than what was applied.
	MinimalChanges() []adminstate.Change
}

// Commit carries out a change in all processes of the node: it is checked, put on record and applied
// under the folder's lock, after what other processes have put on record. When Commit returns nil, the
// change is in force in every live process.
//
// After an error of AdminState.Validate the change was not made. After ErrPeerUnresponsive it is on record
// and in force in this process. Other errors leave open which of the two holds: the change was not made if
// the call failed up to the writing of the record; it is on record and in force in this process if the
// presence could not be published after that, or the peers not be listed. Calling again is safe: a change
// that is in force has no effect.
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

// commitHere puts a change on record and applies it in this process. It returns the sequence number
// up to which peers have to apply the record. An error of writePresence comes after the change was applied.
func (f *Folder) commitHere(ctx context.Context, c adminstate.Change, state AdminState) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.presenceFile == nil {
		return 0, errLeft
	}
	if err := f.acquireLock(ctx); err != nil {
		return 0, err
	}
	defer f.releaseLock()
	entries, damage := f.readRecord()
	if err := f.applyUndelivered(entries, state); err != nil {
		return 0, err
	}
	if hasGap(entries, f.deliveredSeq) { // this process still has what both copies have lost
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

// ApplyPending applies the changes that other processes have put on record, and publishes that. It
// does nothing while the folder is locked: the next call applies them.
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

// applyUndelivered applies the changes that were not delivered yet, and publishes that; f.mu is held.
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
