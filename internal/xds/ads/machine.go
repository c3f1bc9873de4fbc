package ads

import (
	"hash/maphash"
	"maps"
	"time"
)

// defaultMissingTimeout is Options.MissingTimeout where that is 0.
const defaultMissingTimeout = 15 * time.Second

// Options are the settings of a Machine.
type Options struct {
	Variant Variant
	// Wildcard says of each type whether all its resources are subscribed to, whatever Subscribe is given.
	Wildcard [TypeCount]bool
	// MissingTimeout is the time after which a resource that is subscribed to does not exist; 0 for 15 s.
	MissingTimeout time.Duration
	Decode         Decode
}

// Machine is the client's state machine. Its methods are for one caller at a time; the times that they are given are on
// one monotonic clock.
type Machine struct {
	options Options
	seed    maphash.Seed
	types   [TypeCount]typeState

	streamOpen       bool
	responseReceived bool // on the present stream
	openedAt         time.Duration
	server           string // the control plane of the present stream
}

// typeState is what is known of a type.
type typeState struct {
	acceptedVersion string            // the last one of the type (state of the world)
	subscribed      map[string]bool   // names, beside a wildcard
	versions        map[string]string // of the accepted resources, by name
	hashes          map[string]uint64 // of their bytes, by name, of those that came by a stream
	nameByHash      map[uint64]string // the inverse of hashes
	lastServer      string            // the control plane that the last response came from

	// The fields below are about the present stream.

	pendingSince   map[string]time.Duration // names that are subscribed to and not known
	lastNonce      string
	answeredNonces []string // the oldest first, at most maxAnsweredNonces
	requested      bool     // a request of the type was made
}

// New returns a machine without a stream.
func New(o Options) *Machine {
	if o.MissingTimeout == 0 {
		o.MissingTimeout = defaultMissingTimeout
	}
	m := &Machine{options: o, seed: maphash.MakeSeed()}
	for t := range m.types {
		m.types[t] = typeState{
			subscribed:   map[string]bool{},
			versions:     map[string]string{},
			hashes:       map[string]uint64{},
			nameByHash:   map[uint64]string{},
			pendingSince: map[string]time.Duration{},
		}
	}
	return m
}

// Restore sets the versions of resources that are in force from an earlier run.
func (m *Machine) Restore(t Type, version string, versions map[string]string) {
	s := &m.types[t]
	s.acceptedVersion = version
	maps.Copy(s.versions, versions)
}

// Versions returns the last accepted version of a type and those of its resources, for Restore.
func (m *Machine) Versions(t Type) (version string, versions map[string]string) {
	return m.types[t].acceptedVersion, maps.Clone(m.types[t].versions)
}

// StreamOpened starts a stream to a control plane and returns its initial requests.
func (m *Machine) StreamOpened(now time.Duration, server string) (out []Request) {
	m.streamOpen, m.responseReceived, m.openedAt, m.server = true, false, now, server
	for t := range TypeCount {
		s := &m.types[t]
		s.lastNonce, s.answeredNonces, s.requested = "", nil, false
		clear(s.pendingSince)
		if m.options.Wildcard[t] || len(s.subscribed) > 0 {
			out = append(out, m.initialRequest(now, t))
		}
	}
	return out
}

// StreamClosed ends the stream. The accepted resources stay in force.
func (m *Machine) StreamClosed() {
	m.streamOpen = false
	for t := range m.types {
		clear(m.types[t].pendingSince) // without a stream no timeout shows that they do not exist
	}
}

// AwaitsFirstResponse reports whether no response has come on the present stream, and when that was opened.
func (m *Machine) AwaitsFirstResponse() (openedAt time.Duration, awaits bool) {
	return m.openedAt, !m.responseReceived
}

// forget removes what is known of a resource.
func (s *typeState) forget(name string) {
	delete(s.versions, name)
	delete(s.pendingSince, name)
	delete(s.nameByHash, s.hashes[name])
	delete(s.hashes, name)
}
