package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// The limits of the log.
const (
	MaxHistory      = 256     // versions that a rollback can name
	MaxFiles        = 1100    // files of a version
	maxHistoryParts = 16384   // of all versions in the history together, so that a snapshot fits a message
	MaxName         = 255     // bytes of a file's or a node's name
	MaxEntryBytes   = 1 << 20 // bytes of an entry; content goes by hash beside it
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
	OwnershipEnd  *OwnershipEnd   `json:"free,omitempty"`
	Release       *Release        `json:"release,omitempty"`
	ReleaseUpdate *ReleaseUpdate  `json:"move,omitempty"`
}

// EpochAck is a voter's statement that no node that it granted a lease acts on anything before an epoch any more.
type EpochAck struct {
	Epoch   uint64 `json:"epoch"`
	VoterID uint64 `json:"voter"`
}

// Refusal is a node's statement that it can't use a pending version.
type Refusal struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Reason string `json:"why"`
}

// ParseEntry parses and validates an entry.
func ParseEntry(data []byte) (*Entry, error) {
	if len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("%d bytes; %d at most", len(data), MaxEntryBytes)
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
		e.Propose != nil, e.EpochAck != nil, e.Refusal != nil,
		e.Assignment != nil, e.OwnershipEnd != nil,
		e.Release != nil, e.ReleaseUpdate != nil,
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
