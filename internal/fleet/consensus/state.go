package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// State is the state machine of the log: the result of all entries up to an index, the same at every voter. Epochs
// separate versions that contradict each other; within one epoch, nodes may act on different versions at the same
// time.
type State struct {
	Index          uint64     `json:"index"`   // log index of the last applied entry
	Epoch          uint64     `json:"epoch"`   // current epoch
	ActiveVersion  uint64     `json:"number"`  // number of the active version; 0: none yet
	PendingVersion uint64     `json:"pending"` // number of the version that becomes active with epoch Epoch+1; 0: none
	EpochAcks      []uint64   `json:"cleared"` // voters that have acknowledged the pending version's epoch, ascending
	EpochVersions  []uint64   `json:"alive"`   // versions of this epoch, any of which some node may act on; ascending
	LastNumber     uint64     `json:"last"`    // highest version number given out; 0: none yet
	History        []Manifest `json:"history"` // retained versions, ascending by number

	Tasks              map[string]TaskOwnership `json:"works,omitempty"`
	OwnershipRevisions map[string]uint64        `json:"sets,omitempty"` // by process: see OwnershipRevision

	Release *ReleaseProgress `json:"release,omitempty"` // latest release; nil: there has been none
}

// LeaseEpoch returns the Grant.MinCoveredEpoch of a lease that is granted now.
func (s *State) LeaseEpoch() uint64 {
	if s.PendingVersion != 0 {
		return s.Epoch + 1
	}
	return s.Epoch
}

// Version returns the version with a number; nil if the history has no such version.
func (s *State) Version(number uint64) *Manifest {
	i, ok := slices.BinarySearchFunc(s.History, number, func(m Manifest, n uint64) int {
		return int(int64(m.Number) - int64(n))
	})
	if !ok {
		return nil
	}
	return &s.History[i]
}

// Published returns the version that was published under an id; nil if the history has no such version.
func (s *State) Published(id string) *Manifest {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return &s.History[i]
		}
	}
	return nil
}

// Clone returns a copy that Apply can change without changing the original.
func (s *State) Clone() *State {
	out := *s
	out.EpochAcks = slices.Clone(s.EpochAcks)
	out.EpochVersions = slices.Clone(s.EpochVersions)
	out.History = slices.Clone(s.History)
	out.Tasks = maps.Clone(s.Tasks)
	out.OwnershipRevisions = maps.Clone(s.OwnershipRevisions)
	return &out
}

// The errors of CheckProposal.
var (
	ErrStaleBase      = errors.New("the version's base is not the active version")
	ErrVersionPending = errors.New("another version is pending")
)

// CheckProposal returns why a version can't be proposed in this state; nil if it can.
func (s *State) CheckProposal(m *Manifest) error {
	switch {
	case s.PendingVersion != 0:
		return fmt.Errorf("%w: %d", ErrVersionPending, s.PendingVersion)
	case m.Base != s.ActiveVersion:
		return fmt.Errorf("%w: the active version is %d, the base is %d", ErrStaleBase, s.ActiveVersion, m.Base)
	}
	return nil
}

// Apply applies the entry at a log index; voters is how many voters the fleet has. An entry that came too late changes
// nothing but the index. An entry that can't be parsed is an error, since no voter proposes one.
func (s *State) Apply(index uint64, data []byte, voters int) error {
	s.Index = index
	if len(data) == 0 {
		return nil
	}
	e, err := ParseEntry(data)
	if err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	switch {
	case e.Propose != nil:
		s.addVersion(e.Propose)
	case e.EpochAck != nil:
		s.acknowledgeEpoch(e.EpochAck, voters)
	case e.Refusal != nil:
		s.refuseVersion(e.Refusal)
	case e.Assignment != nil:
		s.assignTask(index, e.Assignment)
	case e.OwnershipEnd != nil:
		s.confirmOwnershipEnd(index, e.OwnershipEnd, voters)
	case e.Release != nil:
		s.startRelease(e.Release)
	case e.ReleaseUpdate != nil:
		s.updateRelease(e.ReleaseUpdate)
	}
	return nil
}

// addVersion appends a proposed version to the history. The version becomes pending if it contradicts the epoch's
// versions or the epoch has maxVersionsPerEpoch versions, and active at once otherwise.
func (s *State) addVersion(in *Manifest) {
	if s.CheckProposal(in) != nil || s.Published(in.ID) != nil {
		return // the publisher looks up the outcome by its id
	}
	m := *in
	if m.OwnParts = len(m.Parts); m.Extends {
		base := s.Version(m.Base)
		if base == nil || m.Extend(base) != nil {
			return
		}
	}
	s.LastNumber++
	m.Number, m.RefusalReason = s.LastNumber, ""
	m.Contradicts = m.Contradicts || len(s.EpochVersions) >= maxVersionsPerEpoch
	if s.ActiveVersion == 0 {
		m.Contradicts = false // there is nothing that it could contradict
	}
	s.History = append(s.History, m)
	s.trimHistory()
	if m.Contradicts {
		s.PendingVersion, s.EpochAcks = m.Number, nil
		return
	}
	s.ActiveVersion, s.EpochVersions = m.Number, append(s.EpochVersions, m.Number)
}

// trimHistory drops old versions until the history is within its limits or all remaining versions are needed.
func (s *State) trimHistory() {
	newest := s.LastNumber
	parts := 0
	for i := range s.History {
		parts += len(s.History[i].Parts)
	}
	for len(s.History) > MaxHistory || parts > maxHistoryParts {
		dropped := s.dropOldestVersion(newest)
		if parts -= dropped; dropped == 0 {
			return
		}
	}
}

// dropOldestVersion removes the oldest version that no node may act on, other than the newest, and returns how many
// parts the removed version had; 0 if there is no such version.
func (s *State) dropOldestVersion(newest uint64) int {
	for i := range s.History {
		if n := s.History[i].Number; n != newest && n != s.ActiveVersion && !slices.Contains(s.EpochVersions, n) {
			parts := len(s.History[i].Parts)
			s.History = slices.Delete(s.History, i, i+1)
			return parts
		}
	}
	return 0
}

// acknowledgeEpoch records a voter's acknowledgment of the pending version's epoch. The acknowledgments of a majority
// make the pending version the active one.
func (s *State) acknowledgeEpoch(ack *EpochAck, voters int) {
	if s.PendingVersion == 0 || ack.Epoch != s.Epoch+1 {
		return
	}
	at, recorded := slices.BinarySearch(s.EpochAcks, ack.VoterID)
	if recorded {
		return
	}
	s.EpochAcks = slices.Insert(s.EpochAcks, at, ack.VoterID)
	if len(s.EpochAcks) < QuorumSize(voters) {
		return
	}
	s.Epoch++
	s.ActiveVersion, s.EpochVersions = s.PendingVersion, []uint64{s.PendingVersion}
	s.PendingVersion, s.EpochAcks = 0, nil
}

// refuseVersion drops the pending version. The epoch still advances, since leases for the next epoch have been granted.
func (s *State) refuseVersion(r *Refusal) {
	if s.PendingVersion == 0 || r.Number != s.PendingVersion {
		return
	}
	s.Version(r.Number).RefusalReason = r.Node + ": " + r.Reason
	s.Epoch, s.PendingVersion, s.EpochAcks = s.Epoch+1, 0, nil
}

// ContentHashes returns the hashes of all content that the state refers to, each with the content's size in bytes.
func (s *State) ContentHashes() map[string]int {
	out := map[string]int{}
	for i := range s.History {
		for _, p := range s.History[i].Parts {
			out[p.Hash] = p.SizeBytes
		}
	}
	return out
}
