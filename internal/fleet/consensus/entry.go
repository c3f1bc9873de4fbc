package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// The limits of the log's entries and of its history.
const (
	MaxHistory         = 256     // versions that a rollback can name
	MaxPartsPerVersion = 1100    // parts of a version
	maxHistoryParts    = 16384   // parts of all versions in the history together, so that a snapshot fits a message
	MaxNameBytes       = 255     // bytes of the name of a part, a node, a task or a cluster, or of an id
	MaxEntryBytes      = 1 << 20 // bytes of an encoded entry, which refers to file contents only by hash
	// maxVersionsPerEpoch is how many versions may share an epoch. Each new version is compared with all of them, since
	// "does not contradict" is not transitive.
	maxVersionsPerEpoch = 16
)

// Part is a file of a version. A part refers to its content by hash, so that only changed files are sent.
type Part struct {
	Name      string `json:"name"`
	Hash      string `json:"hash"` // SHA-256, hexadecimal
	SizeBytes int    `json:"size"` // bytes
}

// Manifest describes a version in the log: the names and hashes of its files, without their content.
type Manifest struct {
	Number      uint64 `json:"number"`      // number of the version in the log's order, from 1
	Base        uint64 `json:"base"`        // number of the version that this one was made from; 0: none
	ID          string `json:"id"`          // chosen by the publisher, so that a publish sent twice has one effect
	Proposer    string `json:"by"`          // node that proposed the version
	Contradicts bool   `json:"contradicts"` // contradicts a version of the epoch, or the epoch has maxVersionsPerEpoch
	Parts       []Part `json:"parts"`
	// Extends says that Parts begins with the base's parts, followed by OwnParts parts of this version. In a proposal,
	// Parts has only this version's own parts.
	Extends  bool `json:"extends,omitempty"`
	OwnParts int  `json:"own,omitempty"`
	// RefusalReason names a node that can't use the version, and why; empty if no node has refused the version.
	RefusalReason string `json:"refused,omitempty"`
}

// Entry is a command in the log. Exactly one of its fields is set.
type Entry struct {
	Propose       *Manifest       `json:"propose,omitempty"`
	EpochAck      *EpochAck       `json:"clear,omitempty"`
	Refusal       *Refusal        `json:"refuse,omitempty"`
	Assignment    *TaskAssignment `json:"own,omitempty"`
	OwnershipEnd  *OwnershipEnd   `json:"free,omitempty"`
	Release       *Release        `json:"release,omitempty"`
	ReleaseUpdate *ReleaseUpdate  `json:"move,omitempty"`
}

// EpochAck is a voter's acknowledgment that no process it granted a lease acts on an earlier epoch any more.
type EpochAck struct {
	Epoch   uint64 `json:"epoch"`
	VoterID uint64 `json:"voter"`
}

// Refusal is a node's report that it can't use a pending version.
type Refusal struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Reason string `json:"why"`
}

// ParseEntry parses and validates an entry.
func ParseEntry(data []byte) (*Entry, error) {
	if len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("log entry has %d bytes, at most %d are allowed", len(data), MaxEntryBytes)
	}
	e := &Entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	if kinds := e.kinds(); kinds != 1 {
		return nil, fmt.Errorf("log entry has %d commands, exactly 1 is allowed", kinds)
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
	if m.ID == "" || len(m.ID) > MaxNameBytes || len(m.Proposer) > MaxNameBytes {
		return fmt.Errorf("version id must have 1 to %d bytes, and its proposer's name at most as many", MaxNameBytes)
	}
	if n := len(m.Parts); n == 0 || n > MaxPartsPerVersion {
		return fmt.Errorf("version has %d files, 1 to %d are allowed", n, MaxPartsPerVersion)
	}
	seen := map[string]bool{}
	for _, p := range m.Parts {
		if p.Name == "" || len(p.Name) > MaxNameBytes || seen[p.Name] {
			return fmt.Errorf("file %q of the version: name must be unique and have 1 to %d bytes", p.Name, MaxNameBytes)
		}
		if len(p.Hash) != 64 || p.SizeBytes < 0 {
			return fmt.Errorf("file %q of the version: hash has %d digits, must have 64; size is %d bytes, must not be negative",
				p.Name, len(p.Hash), p.SizeBytes)
		}
		seen[p.Name] = true
	}
	return nil
}

// Extend inserts the base's parts before the manifest's own parts, and validates the result.
func (m *Manifest) Extend(base *Manifest) error {
	m.Parts = slices.Concat(base.Parts, m.Parts)
	return m.Check()
}

// Marshal encodes an entry for the log.
func (e *Entry) Marshal() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // can't happen: an entry has only types that encoding/json can encode
	}
	return data
}
