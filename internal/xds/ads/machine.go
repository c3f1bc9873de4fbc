package ads

import (
	"hash/maphash"
	"maps"
	"time"
)

// defaultMissingTimeout is used if Options.MissingTimeout is 0.
const defaultMissingTimeout = 15 * time.Second

// Options are the settings of a Machine.
type Options struct {
	Variant Variant
	// Wildcard says for each type whether all its resources are subscribed to; Subscribe ignores the names of such a type.
	Wildcard [TypeCount]bool
	// MissingTimeout is the time after which a requested resource that has not come counts as nonexistent; 0 for 15 s.
	MissingTimeout time.Duration
	Decode         Decode
}

// Machine is the state machine of an ADS client. It is not safe for concurrent use. All times passed to its methods must
// come from the same monotonic clock.
type Machine struct {
	options Options
	seed    maphash.Seed
	types   [TypeCount]typeState

	streamOpen       bool
	responseReceived bool // a response was received on the current stream
	openedAt         time.Duration
	server           string // the control plane of the current stream
}

// typeState is the state of the subscription to one type.
type typeState struct {
	acceptedVersion string            // last accepted version of the type (state of the world only)
	subscribed      map[string]bool   // names that are subscribed to; not used with a wildcard
	versions        map[string]string // versions of the accepted resources, by name
	hashes          map[string]uint64 // hashes of the accepted resources' bytes, by name; none for restored resources
	nameByHash      map[uint64]string // the inverse of hashes
	lastServer      string            // the control plane that sent the last response

	// The fields below are reset when a stream opens.

	pendingSince   map[string]time.Duration // when unknown resources were requested, by name
	lastNonce      string
	answeredNonces []string // the oldest first, at most maxAnsweredNonces
	requested      bool     // a request of the type was returned
}

// New returns a machine that has no open stream and no resources.
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

// Restore sets the versions of a type and of its resources that are in force from an earlier run.
func (m *Machine) Restore(t Type, version string, versions map[string]string) {
	s := &m.types[t]
	s.acceptedVersion = version
	maps.Copy(s.versions, versions)
}

// Versions returns the last accepted version of a type and the versions of its resources, as Restore takes them.
func (m *Machine) Versions(t Type) (version string, versions map[string]string) {
	return m.types[t].acceptedVersion, maps.Clone(m.types[t].versions)
}

// StreamOpened records that a stream to a control plane was opened, and returns the initial requests of the stream.
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

// StreamClosed records that the stream has ended. The accepted resources stay in force.
func (m *Machine) StreamClosed() {
	m.streamOpen = false
	for t := range m.types {
		clear(m.types[t].pendingSince) // without a stream, a timeout does not show that a resource does not exist
	}
}

// AwaitsFirstResponse reports whether no response has been received on the current stream, and when the stream was
// opened.
func (m *Machine) AwaitsFirstResponse() (openedAt time.Duration, awaits bool) {
	return m.openedAt, !m.responseReceived
}

// forget removes the version, the hash and the timeout of a resource.
func (s *typeState) forget(name string) {
	delete(s.versions, name)
	delete(s.pendingSince, name)
	delete(s.nameByHash, s.hashes[name])
	delete(s.hashes, name)
}
