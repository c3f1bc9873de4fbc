package agree

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The bounds of what the log keeps.
const (
	MaxHistory = 256     // versions that can be gone back to
	MaxFiles   = 1100    // files of a version
	maxParts   = 16384   // of all versions in the history together, so that a snapshot fits a message
	MaxName    = 255     // bytes of a file's or a node's name
	MaxEntry   = 1 << 20 // bytes of an entry; content goes by hash beside it
	// epochMost is how many versions may share an epoch. Each new one is held against all of them, since "does not
	// contradict" doesn't pass on from one pair of versions to the next.
	epochMost = 16
)

// Part is a file of a version: its content goes by its hash, so that only what changed travels.
type Part struct {
	Name string `json:"name"`
	Hash string `json:"hash"` // SHA-256, hexadecimal
	Size int    `json:"size"` // bytes
}

// Manifest is a version as the log has it.
type Manifest struct {
	Number      uint64 `json:"number"` // by the log's order, from 1
	Base        uint64 `json:"base"`   // the version that it was made from; 0: none
	ID          string `json:"id"`     // its publisher's, so that a publish sent twice is one
	By          string `json:"by"`     // the node that proposed it
	Contradicts bool   `json:"contradicts"`
	Parts       []Part `json:"parts"`
	// Extends says that the base's parts are this version's too, and come first; the log has Own of them from then on.
	Extends bool `json:"extends,omitempty"`
	Own     int  `json:"own,omitempty"`
	// Refused says which node can't hold it, and why; "": none said so.
	Refused string `json:"refused,omitempty"`
}

// Entry is what goes into the log: one of its fields is set.
type Entry struct {
	Propose *Manifest `json:"propose,omitempty"`
	Clear   *Clear    `json:"clear,omitempty"`
	Refuse  *Refuse   `json:"refuse,omitempty"`
	Own     *Own      `json:"own,omitempty"`
	Free    *Free     `json:"free,omitempty"`
	Release *Release  `json:"release,omitempty"`
	Move    *Move     `json:"move,omitempty"`
}

// Clear is a voter's word that nobody whom it granted a lease acts on what came before an epoch any more.
type Clear struct {
	Epoch uint64 `json:"epoch"`
	Voter uint64 `json:"voter"`
}

// Refuse is a node's word that it can't hold a version that waits.
type Refuse struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Why    string `json:"why"`
}

// State is what all entries up to an index come to: the same at every voter. Its epochs part versions that
// contradict: within one, nodes may act on different versions at one time.
type State struct {
	Index   uint64     `json:"index"`   // of the last entry
	Epoch   uint64     `json:"epoch"`   // of the version in force
	Number  uint64     `json:"number"`  // of the version in force; 0: none yet
	Pending uint64     `json:"pending"` // the version that waits for its epoch, Epoch+1; 0: none
	Cleared []uint64   `json:"cleared"` // voters that cleared it, ascending
	Alive   []uint64   `json:"alive"`   // versions of this epoch, any of which some node may act on; ascending
	Last    uint64     `json:"last"`    // the highest number given out
	History []Manifest `json:"history"` // ascending

	Works map[string]Ownership `json:"works,omitempty"`
	Sets  map[string]uint64    `json:"sets,omitempty"` // see Set

	Release *Progress `json:"release,omitempty"` // the latest; nil: there was none
}

// Upto is the epoch up to which a lease that is granted now goes.
func (s *State) Upto() uint64 {
	if s.Pending != 0 {
		return s.Epoch + 1
	}
	return s.Epoch
}

// Version gives a version of the history; nil if it has none of the number.
func (s *State) Version(number uint64) *Manifest {
	i, ok := slices.BinarySearchFunc(s.History, number, func(m Manifest, n uint64) int {
		return int(int64(m.Number) - int64(n))
	})
	if !ok {
		return nil
	}
	return &s.History[i]
}

// Published gives the version that a publisher's id led to; nil: none in the history.
func (s *State) Published(id string) *Manifest {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return &s.History[i]
		}
	}
	return nil
}

// Clone gives a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	out := *s
	out.Cleared, out.Alive, out.History = slices.Clone(s.Cleared), slices.Clone(s.Alive), slices.Clone(s.History)
	out.Works, out.Sets = maps.Clone(s.Works), maps.Clone(s.Sets)
	return &out
}

// The reasons why a version is not taken up, as errors that callers can tell apart.
var (
	ErrBase    = errors.New("it was made from a version that is not the present one")
	ErrWaiting = errors.New("another version waits to come into force")
)

// May tells whether a version may be proposed as things stand.
func (s *State) May(m *Manifest) error {
	switch {
	case s.Pending != 0:
		return fmt.Errorf("%w: %d", ErrWaiting, s.Pending)
	case m.Base != s.Number:
		return fmt.Errorf("%w: %d, not %d", ErrBase, s.Number, m.Base)
	}
	return nil
}

// Apply takes an entry, at its index. Entries that came too late for what they say change nothing. voters is how many there are.
// An entry that can't be read is an error: it was not written by this program.
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
		s.propose(e.Propose)
	case e.Clear != nil:
		s.clear(e.Clear, voters)
	case e.Refuse != nil:
		s.refuse(e.Refuse)
	case e.Own != nil:
		s.own(index, e.Own)
	case e.Free != nil:
		s.free(index, e.Free, voters)
	case e.Release != nil:
		s.begin(e.Release)
	case e.Move != nil:
		s.move(e.Move)
	}
	return nil
}

func (s *State) propose(in *Manifest) {
	if s.May(in) != nil || s.Published(in.ID) != nil {
		return // the publisher finds out by its id
	}
	m := *in
	if m.Own = len(m.Parts); m.Extends {
		base := s.Version(m.Base)
		if base == nil || m.Extend(base) != nil {
			return
		}
	}
	s.Last++
	m.Number, m.Refused = s.Last, ""
	m.Contradicts = m.Contradicts || len(s.Alive) >= epochMost
	if s.Number == 0 {
		m.Contradicts = false // there is nothing that it could contradict
	}
	s.History = append(s.History, m)
	parts := 0
	for i := range s.History {
		parts += len(s.History[i].Parts)
	}
	for len(s.History) > MaxHistory || parts > maxParts {
		gone := s.forget(m.Number)
		if parts -= gone; gone == 0 {
			break
		}
	}
	if m.Contradicts {
		s.Pending, s.Cleared = m.Number, nil
		return
	}
	s.Number, s.Alive = m.Number, append(s.Alive, m.Number)
}

// forget drops the oldest version that nobody may act on, nor is new, and gives how many parts it had.
func (s *State) forget(fresh uint64) int {
	for i := range s.History {
		if n := s.History[i].Number; n != fresh && n != s.Number && !slices.Contains(s.Alive, n) {
			parts := len(s.History[i].Parts)
			s.History = slices.Delete(s.History, i, i+1)
			return parts
		}
	}
	return 0
}

func (s *State) clear(c *Clear, voters int) {
	if s.Pending == 0 || c.Epoch != s.Epoch+1 {
		return
	}
	at, there := slices.BinarySearch(s.Cleared, c.Voter)
	if there {
		return
	}
	if s.Cleared = slices.Insert(s.Cleared, at, c.Voter); len(s.Cleared) > voters/2 {
		s.Epoch, s.Number, s.Alive = s.Epoch+1, s.Pending, []uint64{s.Pending}
		s.Pending, s.Cleared = 0, nil
	}
}

// refuse drops the version that waits. Its epoch is used up: leases up to it have been granted.
func (s *State) refuse(r *Refuse) {
	if s.Pending == 0 || r.Number != s.Pending {
		return
	}
	s.Version(r.Number).Refused = r.Node + ": " + r.Why
	s.Epoch, s.Pending, s.Cleared = s.Epoch+1, 0, nil
}

// ParseEntry reads an entry of the log.
func ParseEntry(data []byte) (*Entry, error) {
	if len(data) > MaxEntry {
		return nil, fmt.Errorf("%d bytes; %d at most", len(data), MaxEntry)
	}
	e := &Entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	set := 0
	for _, there := range []bool{e.Propose != nil, e.Clear != nil, e.Refuse != nil, e.Own != nil, e.Free != nil, e.Release != nil, e.Move != nil} {
		if there {
			set++
		}
	}
	if set != 1 {
		return nil, fmt.Errorf("%d kinds of entry in one", set)
	}
	if m := e.Propose; m != nil {
		return e, m.Check()
	}
	if e.Release != nil {
		return e, e.Release.Check()
	}
	if o := e.Own; o != nil && (o.Work == "" || o.Node == "" || len(o.Work) > MaxName || len(o.Node) > MaxName || len(o.Life) > MaxName) {
		return nil, fmt.Errorf("own: a work, a node and a life of at most %d bytes", MaxName)
	}
	return e, nil
}

// Check tells what is wrong with a manifest.
func (m *Manifest) Check() error {
	if m.ID == "" || len(m.ID) > MaxName || len(m.By) > MaxName {
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

// Extend puts the base's parts before the version's own.
func (m *Manifest) Extend(base *Manifest) error {
	m.Parts = slices.Concat(base.Parts, m.Parts)
	return m.Check()
}

// Marshal gives an entry as the log has it.
func (e *Entry) Marshal() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return data
}

// Hashes gives the hashes of all content that the state refers to.
func (s *State) Hashes() map[string]int {
	out := map[string]int{}
	for i := range s.History {
		for _, p := range s.History[i].Parts {
			out[p.Hash] = p.Size
		}
	}
	return out
}
