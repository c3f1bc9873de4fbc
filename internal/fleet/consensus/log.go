package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The limits of what the log keeps.
const (
	MaxHistory = 256     // versions that can be gone back to
	MaxFiles   = 1100    // files of a version
	maxParts   = 16384   // of all versions in the history together, so that a snapshot fits a message
	MaxName    = 255     // bytes of a file's or a node's name
	MaxEntry   = 1 << 20 // bytes of an entry; content goes by hash beside it
	// maxVersionsPerEpoch is how many versions may share an epoch. Each new version is compared with all of them, since
	// "does not contradict" is not transitive.
	maxVersionsPerEpoch = 16
)

// Part is a file of a version. It refers to its content by hash, so that only changed files are sent.
type Part struct {
	Name string `json:"name"`
	Hash string `json:"hash"` // SHA-256, hexadecimal
	Size int    `json:"size"` // bytes
}

// Manifest is a version as the log has it: its files by hash, without their content.
type Manifest struct {
	Number      uint64 `json:"number"` // by the log's order, from 1
	Base        uint64 `json:"base"`   // the version that it was made from; 0: none
	ID          string `json:"id"`     // its publisher's, so that a publish sent twice is one
	Proposer    string `json:"by"`     // the node that proposed it
	Contradicts bool   `json:"contradicts"`
	Parts       []Part `json:"parts"`
	// Extends says that the base's parts come before this version's own, of which there are OwnParts.
	Extends  bool `json:"extends,omitempty"`
	OwnParts int  `json:"own,omitempty"`
	// RefusalReason names the node that can't use the version, and why; "": no node said so.
	RefusalReason string `json:"refused,omitempty"`
}

// Entry is a command in the log: exactly one of its fields is set.
type Entry struct {
	Propose       *Manifest       `json:"propose,omitempty"`
	EpochAck      *EpochAck       `json:"clear,omitempty"`
	Refusal       *Refusal        `json:"refuse,omitempty"`
	Assignment    *TaskAssignment `json:"own,omitempty"`
	TaskRelease   *TaskRelease    `json:"free,omitempty"`
	Release       *Release        `json:"release,omitempty"`
	ReleaseUpdate *ReleaseUpdate  `json:"move,omitempty"`
}

// EpochAck is a voter's word that no node that it granted a lease acts on anything before an epoch any more.
type EpochAck struct {
	Epoch uint64 `json:"epoch"`
	Voter uint64 `json:"voter"`
}

// Refusal is a node's word that it can't use a pending version.
type Refusal struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Reason string `json:"why"`
}

// State is the state machine of the log: the result of all entries up to an index, the same at every voter. Epochs
// separate versions that contradict each other; within one epoch, nodes may act on different versions at the same
// time.
type State struct {
	Index          uint64     `json:"index"`   // of the last entry
	Epoch          uint64     `json:"epoch"`   // of the version in force
	ActiveVersion  uint64     `json:"number"`  // of the version in force; 0: none yet
	PendingVersion uint64     `json:"pending"` // comes into force with epoch Epoch+1; 0: none
	EpochAcks      []uint64   `json:"cleared"` // voters that have acknowledged the pending version's epoch, ascending
	EpochVersions  []uint64   `json:"alive"`   // versions of this epoch, any of which some node may act on; ascending
	LastNumber     uint64     `json:"last"`    // the highest number given out
	History        []Manifest `json:"history"` // ascending

	Tasks              map[string]TaskOwnership `json:"works,omitempty"`
	OwnershipRevisions map[string]uint64        `json:"sets,omitempty"` // by process: see OwnershipRevision

	Release *ReleaseProgress `json:"release,omitempty"` // the latest one; nil: there has been none
}

// LeaseEpoch is the epoch up to which a lease that is granted now reaches.
func (s *State) LeaseEpoch() uint64 {
	if s.PendingVersion != 0 {
		return s.Epoch + 1
	}
	return s.Epoch
}

// Version returns a version of the history; nil if it has none of the number.
func (s *State) Version(number uint64) *Manifest {
	i, ok := slices.BinarySearchFunc(s.History, number, func(m Manifest, n uint64) int {
		return int(int64(m.Number) - int64(n))
	})
	if !ok {
		return nil
	}
	return &s.History[i]
}

// Published returns the version that a publisher's id led to; nil if the history has none.
func (s *State) Published(id string) *Manifest {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return &s.History[i]
		}
	}
	return nil
}

// Clone returns a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	out := *s
	out.EpochAcks, out.EpochVersions, out.History = slices.Clone(s.EpochAcks), slices.Clone(s.EpochVersions), slices.Clone(s.History)
	out.Tasks, out.OwnershipRevisions = maps.Clone(s.Tasks), maps.Clone(s.OwnershipRevisions)
	return &out
}

// The errors of CheckProposal.
var (
	ErrStaleBase      = errors.New("it was made from a version that is not the present one")
	ErrVersionPending = errors.New("another version waits to come into force")
)

// CheckProposal returns why a version can't be proposed at present.
func (s *State) CheckProposal(m *Manifest) error {
	switch {
	case s.PendingVersion != 0:
		return fmt.Errorf("%w: %d", ErrVersionPending, s.PendingVersion)
	case m.Base != s.ActiveVersion:
		return fmt.Errorf("%w: %d, not %d", ErrStaleBase, s.ActiveVersion, m.Base)
	}
	return nil
}

// Apply applies an entry at its index; voters is how many voters the fleet has. An entry that came too late changes
// nothing. One that can't be parsed is an error: no voter wrote it.
func (s *State) Apply(index uint64, data []byte, voters int) error {
	s.Index = index
	if len(data) == 0 {
		return nil
	}
	e, err := ParseEntry(data)
	if err != nil {
		return fmt.Errorf("entry %d: %w", index, err)
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
	case e.TaskRelease != nil:
		s.releaseTask(index, e.TaskRelease, voters)
	case e.Release != nil:
		s.startRelease(e.Release)
	case e.ReleaseUpdate != nil:
		s.updateRelease(e.ReleaseUpdate)
	}
	return nil
}

func (s *State) addVersion(in *Manifest) {
	if s.CheckProposal(in) != nil || s.Published(in.ID) != nil {
		return // the publisher finds out by its id
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

// trimHistory drops old versions until the history is within its limits.
func (s *State) trimHistory() {
	newest := s.LastNumber
	parts := 0
	for i := range s.History {
		parts += len(s.History[i].Parts)
	}
	for len(s.History) > MaxHistory || parts > maxParts {
		dropped := s.dropOldestVersion(newest)
		if parts -= dropped; dropped == 0 {
			return
		}
	}
}

// dropOldestVersion removes the oldest version that nobody may act on, other than the newest, and returns how many
// parts it had.
func (s *State) dropOldestVersion(fresh uint64) int {
	for i := range s.History {
		if n := s.History[i].Number; n != fresh && n != s.ActiveVersion && !slices.Contains(s.EpochVersions, n) {
			parts := len(s.History[i].Parts)
			s.History = slices.Delete(s.History, i, i+1)
			return parts
		}
	}
	return 0
}

func (s *State) acknowledgeEpoch(c *EpochAck, voters int) {
	if s.PendingVersion == 0 || c.Epoch != s.Epoch+1 {
		return
	}
	at, there := slices.BinarySearch(s.EpochAcks, c.Voter)
	if there {
		return
	}
	if s.EpochAcks = slices.Insert(s.EpochAcks, at, c.Voter); len(s.EpochAcks) > voters/2 {
		s.Epoch, s.ActiveVersion, s.EpochVersions = s.Epoch+1, s.PendingVersion, []uint64{s.PendingVersion}
		s.PendingVersion, s.EpochAcks = 0, nil
	}
}

// refuseVersion drops the pending version. Its epoch is used up, since leases for it have been granted.
func (s *State) refuseVersion(r *Refusal) {
	if s.PendingVersion == 0 || r.Number != s.PendingVersion {
		return
	}
	s.Version(r.Number).RefusalReason = r.Node + ": " + r.Reason
	s.Epoch, s.PendingVersion, s.EpochAcks = s.Epoch+1, 0, nil
}

// ParseEntry parses and validates an entry.
func ParseEntry(data []byte) (*Entry, error) {
	if len(data) > MaxEntry {
		return nil, fmt.Errorf("%d bytes; %d at most", len(data), MaxEntry)
	}
	e := &Entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	if kinds := e.kinds(); kinds != 1 {
		return nil, fmt.Errorf("%d kinds of entry in one", kinds)
	}
	switch {
	case e.Propose != nil:
		return e, e.Propose.Check()
	case e.Release != nil:
		return e, e.Release.Check()
	case e.Assignment != nil:
		if err := e.Assignment.check(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// kinds returns how many fields of an entry are set.
func (e *Entry) kinds() (set int) {
	for _, isSet := range []bool{
		e.Propose != nil, e.EpochAck != nil, e.Refusal != nil, e.Assignment != nil, e.TaskRelease != nil, e.Release != nil, e.ReleaseUpdate != nil,
	} {
		if isSet {
			set++
		}
	}
	return set
}

// Check validates a manifest.
func (m *Manifest) Check() error {
	if m.ID == "" || len(m.ID) > MaxName || len(m.Proposer) > MaxName {
		return fmt.Errorf("id: 1 to %d bytes", MaxName)
	}
	if n := len(m.Parts); n == 0 || n > MaxFiles {
		return fmt.Errorf("%d files; 1 to %d", n, MaxFiles)
	}
	seen := map[string]bool{}
	for _, p := range m.Parts {
		if p.Name == "" || len(p.Name) > MaxName || seen[p.Name] {
			return fmt.Errorf("file %q: a name of 1 to %d bytes, once", p.Name, MaxName)
		}
		if len(p.Hash) != 64 || p.Size < 0 {
			return fmt.Errorf("file %q: hash of %d digits, %d bytes", p.Name, len(p.Hash), p.Size)
		}
		seen[p.Name] = true
	}
	return nil
}

// Extend puts the base's parts before the manifest's own.
func (m *Manifest) Extend(base *Manifest) error {
	m.Parts = slices.Concat(base.Parts, m.Parts)
	return m.Check()
}

// Marshal encodes an entry for the log.
func (e *Entry) Marshal() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return data
}

// ContentHashes returns the hash and the size of all content that the state refers to.
func (s *State) ContentHashes() map[string]int {
	out := map[string]int{}
	for i := range s.History {
		for _, p := range s.History[i].Parts {
			out[p.Hash] = p.Size
		}
	}
	return out
}
