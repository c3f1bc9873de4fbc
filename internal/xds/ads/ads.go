// Package ads is the aggregated discovery service's protocol as a pure machine: messages
// and time in, messages and versions out, no socket, no goroutine and no clock. It speaks
// the state-of-the-world and the incremental variant (envoy.service.discovery.v3; the
// rules are those of "xDS REST and gRPC protocol" in Envoy's documentation).
//
// The machine knows which resources are asked for, which versions were taken, and what
// the control plane is owed: an ACK or a NACK for each response. What a resource means is
// decided by a Decode function; a bad one among many is named in the NACK and its last
// good form stays, and the others are taken.
package ads

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
)

// Type is a type of resources, in the order in which they refer to one another.
type Type int

// The types that the program takes.
const (
	Listener Type = iota // envoy.config.listener.v3.Listener (LDS)
	Route                // envoy.config.route.v3.RouteConfiguration (RDS)
	Cluster              // envoy.config.cluster.v3.Cluster (CDS)
	Endpoint             // envoy.config.endpoint.v3.ClusterLoadAssignment (EDS)
	Types
)

var urls = [Types]string{
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

var words = [Types]string{"listener", "route configuration", "cluster", "endpoints"}

// URL gives the type's URL.
func (t Type) URL() string { return urls[t] }

// String gives a word for the type, for messages.
func (t Type) String() string { return words[t] }

// TypeOf gives the type with a URL.
func TypeOf(url string) (Type, bool) {
	i := slices.Index(urls[:], url)
	return Type(i), i >= 0
}

// complete tells whether a state-of-the-world response names all resources there are, so
// that one that is missing is gone (LDS and CDS only).
func (t Type) complete() bool { return t == Listener || t == Cluster }

// The bounds of what a control plane can make the machine keep.
const (
	MaxResources = 2000 // of a type
	MaxName      = 256  // bytes
	maxAnswered  = 64   // nonces remembered, of a type and stream
	maxErrors    = 20   // named in one NACK
	maxDetail    = 4096 // bytes of a NACK's text
)

// Variant is how versions are told.
type Variant int

// The variants of the protocol.
const (
	StateOfTheWorld Variant = iota // StreamAggregatedResources
	Incremental                    // DeltaAggregatedResources
)

// Resource is a resource as it comes. Name and Version are set by the incremental
// variant only.
type Resource struct {
	Name, Version string
	Body          *anypb.Any
}

// Response is a DiscoveryResponse or a DeltaDiscoveryResponse.
type Response struct {
	URL, Version, Nonce string
	Resources           []Resource
	Removed             []string // incremental only
}

// Request is a DiscoveryRequest or a DeltaDiscoveryRequest.
type Request struct {
	Type  Type
	Nonce string
	Error string // the NACK's text; "" in an ACK or a plain request
	// State of the world.
	Version string
	Names   []string // nil for all
	// Incremental.
	Subscribe, Unsubscribe []string
	Initial                map[string]string // versions by name
}

// Decode reads a resource and gives its name, and what the machine's user makes of it.
// The name is wanted with an error too, as far as there is one.
type Decode func(t Type, body *anypb.Any) (name string, value any, err error)

// Set is a good resource.
type Set struct {
	Name, Version string
	Value         any
	Body          *anypb.Any // as it came
}

// Update is what a response or the time has changed.
type Update struct {
	Type    Type
	Set     []Set
	Removed []string
	// Missing are names that were asked for and, after the time given for it, do not
	// exist as far as the control plane is concerned.
	Missing []string
}

// Empty tells that nothing changed.
func (u *Update) Empty() bool { return len(u.Set)+len(u.Removed)+len(u.Missing) == 0 }

// Options are the figures of a Machine.
type Options struct {
	Variant  Variant
	Wildcard [Types]bool   // all resources of the type are wanted, whatever Subscribe says
	Missing  time.Duration // after which a resource that was asked for does not exist; 0: 15 s
	Decode   Decode
}

// Machine is the client's side of the protocol. Its methods are for one caller at a time.
type Machine struct {
	options Options
	seed    maphash.Seed
	types   [Types]state
	open    bool // there is a stream
	heard   bool // and a response came on it
	opened  time.Duration
	plane   string // the stream's control plane
}

// state is what is known of a type.
type state struct {
	version  string                   // taken last, of all (state of the world)
	names    map[string]bool          // asked for, beside a wildcard
	versions map[string]string        // of the resources that are known
	hashes   map[string]uint64        // of their bytes, as far as they came by a stream
	byHash   map[uint64]string        // the names of those
	waiting  map[string]time.Duration // asked for and unknown: since when on this stream
	nonce    string                   // the latest
	answered []string                 // nonces, the oldest first
	asked    bool                     // on this stream
	plane    string                   // the control plane that answered last
}

// New makes a machine with no stream.
func New(o Options) *Machine {
	if o.Missing == 0 {
		o.Missing = 15 * time.Second
	}
	m := &Machine{options: o, seed: maphash.MakeSeed()}
	for t := range m.types {
		m.types[t] = state{names: map[string]bool{}, versions: map[string]string{}, waiting: map[string]time.Duration{}, hashes: map[string]uint64{}, byHash: map[uint64]string{}}
	}
	return m
}

// Restore tells the machine of resources that are in force from before, as from a file.
func (m *Machine) Restore(t Type, version string, versions map[string]string) {
	s := &m.types[t]
	s.version = version
	maps.Copy(s.versions, versions)
}

// Versions gives the version taken last of a type and those of its resources, for Restore.
func (m *Machine) Versions(t Type) (version string, versions map[string]string) {
	return m.types[t].version, maps.Clone(m.types[t].versions)
}

// Opened starts a stream to a control plane: it gives the first requests. A control plane
// that did not give the versions that are known of a type may mean something else by the
// same version, and would send nothing: it is told none, or ones that it can't have.
func (m *Machine) Opened(now time.Duration, plane string) (out []Request) {
	m.open, m.heard, m.opened, m.plane = true, false, now, plane
	for t := range Types {
		s := &m.types[t]
		s.nonce, s.answered, s.asked = "", nil, false
		clear(s.waiting)
		if m.options.Wildcard[t] || len(s.names) > 0 {
			out = append(out, m.first(now, t))
		}
	}
	return out
}

// first is the first request of a type on a stream.
func (m *Machine) first(now time.Duration, t Type) Request {
	s := &m.types[t]
	s.asked = true
	for name := range s.names {
		if _, known := s.versions[name]; !known {
			s.waiting[name] = now
		}
	}
	r := Request{Type: t}
	if m.options.Variant == StateOfTheWorld {
		if r.Names = m.list(t); len(s.waiting) == 0 && s.plane == m.plane {
			// With a name that is not known the version must not be told: a control plane
			// that has nothing newer would send nothing.
			r.Version = s.version
		}
		return r
	}
	if r.Subscribe = m.list(t); m.options.Wildcard[t] {
		r.Subscribe = append([]string{"*"}, r.Subscribe...)
	}
	r.Initial = maps.Clone(s.versions)
	if s.plane != m.plane { // named all the same, so that those that are gone there are told of
		for name := range r.Initial {
			r.Initial[name] = "of another control plane"
		}
	}
	return r
}

// list gives the names asked for; nil for all.
func (m *Machine) list(t Type) []string {
	if m.options.Wildcard[t] {
		return nil
	}
	return slices.Sorted(maps.Keys(m.types[t].names))
}

// Closed ends the stream. What was taken stays.
func (m *Machine) Closed() {
	m.open = false
	for t := range m.types {
		clear(m.types[t].waiting) // nobody is there to say that they don't exist
	}
}

// Heard tells whether a response came on the present stream; if none did, since is when
// the stream was opened.
func (m *Machine) Heard() (heard bool, since time.Duration) { return m.heard, m.opened }

// Subscribe says which names of a type are wanted from now on. Those that are no longer
// wanted are forgotten. Names past MaxResources are left out and given back.
func (m *Machine) Subscribe(now time.Duration, t Type, names []string) (out []Request, over []string) {
	if m.options.Wildcard[t] {
		return nil, nil
	}
	if len(names) > MaxResources {
		names, over = names[:MaxResources], names[MaxResources:]
	}
	s := &m.types[t]
	want := map[string]bool{}
	var more, fewer []string
	for _, n := range names {
		if want[n] = true; !s.names[n] {
			more = append(more, n)
		}
	}
	for n := range s.names {
		if !want[n] {
			fewer = append(fewer, n)
			s.forget(n)
		}
	}
	s.names = want
	if len(more)+len(fewer) == 0 || !m.open {
		return nil, over
	}
	if !s.asked {
		if len(names) == 0 { // to ask for none at first would be to ask for all
			return nil, over
		}
		return []Request{m.first(now, t)}, over
	}
	for _, n := range more {
		if _, known := s.versions[n]; !known {
			s.waiting[n] = now
		}
	}
	r := Request{Type: t, Nonce: s.nonce}
	if m.options.Variant == StateOfTheWorld {
		r.Version, r.Names = s.version, m.list(t)
		if r.Names == nil {
			r.Names = []string{}
		}
	} else {
		slices.Sort(more)
		slices.Sort(fewer)
		r.Nonce, r.Subscribe, r.Unsubscribe = "", more, fewer
	}
	return []Request{r}, over
}

// Receive takes a response. It gives what changed, the ACK or NACK that is owed, and a
// problem where the response is of no use: no answer is owed then.
func (m *Machine) Receive(_ time.Duration, r *Response) (u Update, owed []Request, problem error) {
	t, ok := TypeOf(r.URL)
	if !ok || !m.types[t].asked {
		return u, nil, fmt.Errorf("a response of type %.200q, which was not asked for", r.URL)
	}
	s := &m.types[t]
	switch {
	case !m.open:
		return u, nil, errors.New("a response with no stream open")
	case r.Nonce == "":
		return u, nil, fmt.Errorf("%v: a response with no nonce", t)
	case slices.Contains(s.answered, r.Nonce):
		return u, nil, fmt.Errorf("%v: nonce %.64q was answered before", t, r.Nonce)
	}
	m.heard, s.plane = true, m.plane
	s.nonce = r.Nonce
	s.answered = append(s.answered, r.Nonce)
	if len(s.answered) > maxAnswered {
		s.answered = slices.Delete(s.answered, 0, 1)
	}
	u.Type = t
	errs := m.take(t, r, &u)
	answer := Request{Type: t, Nonce: r.Nonce, Error: detail(errs)}
	if m.options.Variant == StateOfTheWorld {
		if len(errs) == 0 {
			s.version = r.Version
		}
		answer.Version, answer.Names = s.version, m.list(t)
		if answer.Names == nil && !m.options.Wildcard[t] {
			answer.Names = []string{}
		}
	}
	return u, []Request{answer}, nil
}

// take decodes the resources of a response.
func (m *Machine) take(t Type, r *Response, u *Update) (errs []error) {
	s := &m.types[t]
	complete := t.complete() && m.options.Variant == StateOfTheWorld
	seen := make(map[string]bool, len(r.Resources))
	fault := func(name string, err error) {
		if name == "" {
			name = "one with no name"
		}
		errs = append(errs, fmt.Errorf("%.*s: %w", MaxName, name, err))
	}
	for _, res := range r.Resources {
		if res.Body == nil || res.Body.TypeUrl != t.URL() {
			fault(res.Name, fmt.Errorf("its type is %.200q", res.Body.GetTypeUrl()))
			if res.Name != "" {
				seen[res.Name] = true // it stays, in its last good form
			}
			continue
		}
		// Control planes send what has not changed with what has: the same bytes as those
		// in force are not read again. It is a resource that has to be known still.
		hash := maphash.Bytes(m.seed, res.Body.Value)
		if name, same := s.byHash[hash]; same && !seen[name] && (res.Name == "" || res.Name == name) {
			seen[name] = true
			s.versions[name] = cmp.Or(res.Version, r.Version)
			continue
		}
		name, value, err := m.options.Decode(t, res.Body)
		if name = cmp.Or(name, res.Name); name == "" || len(name) > MaxName {
			fault(name, fmt.Errorf("a name has 1 to %d bytes", MaxName))
			continue
		}
		twice := seen[name]
		seen[name] = true
		_, known := s.versions[name]
		switch {
		case twice:
			fault(name, errors.New("stands there twice"))
		case res.Name != "" && res.Name != name:
			fault(res.Name, fmt.Errorf("the resource in it is named %q", name))
			seen[res.Name] = true
		case !m.options.Wildcard[t] && !s.names[name]: // not asked for, or no longer
			continue
		case err != nil:
			fault(name, err)
		case !known && len(s.versions) >= MaxResources:
			fault(name, fmt.Errorf("there are %d already", MaxResources))
		default:
			delete(s.byHash, s.hashes[name])
			s.versions[name], s.hashes[name], s.byHash[hash] = cmp.Or(res.Version, r.Version), hash, name
			u.Set = append(u.Set, Set{name, s.versions[name], value, res.Body})
		}
		delete(s.waiting, name)
	}
	if !complete {
		for _, name := range r.Removed {
			if _, known := s.versions[name]; known || s.names[name] {
				s.forget(name)
				u.Removed = append(u.Removed, name)
			}
		}
		return errs
	}
	for name := range s.versions {
		if !seen[name] {
			s.forget(name)
			u.Removed = append(u.Removed, name)
		}
	}
	for name := range s.names { // a complete response says of each whether it exists
		if !seen[name] && s.versions[name] == "" {
			if _, waiting := s.waiting[name]; waiting {
				delete(s.waiting, name)
				u.Missing = append(u.Missing, name)
			}
		}
	}
	slices.Sort(u.Removed)
	slices.Sort(u.Missing)
	return errs
}

// forget drops what is known of a resource.
func (s *state) forget(name string) {
	delete(s.versions, name)
	delete(s.waiting, name)
	delete(s.byHash, s.hashes[name])
	delete(s.hashes, name)
}

// detail is a NACK's text.
func detail(errs []error) string {
	if len(errs) == 0 {
		return ""
	}
	var b strings.Builder
	for i, err := range errs {
		if i == maxErrors {
			fmt.Fprintf(&b, "; and %d more", len(errs)-i)
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(err.Error())
	}
	text := strings.ToValidUTF8(b.String(), "?")
	return text[:min(len(text), maxDetail)]
}

// Tick tells which names do not exist: their time is up.
func (m *Machine) Tick(now time.Duration) (out []Update) {
	for t := range Types {
		s := &m.types[t]
		var gone []string
		for name, since := range s.waiting {
			if now-since >= m.options.Missing {
				gone = append(gone, name)
				delete(s.waiting, name)
			}
		}
		if len(gone) > 0 {
			slices.Sort(gone)
			out = append(out, Update{Type: t, Missing: gone})
		}
	}
	return out
}

// Next is when Tick has something to tell; false if nothing is waited for.
func (m *Machine) Next() (at time.Duration, ok bool) {
	for t := range m.types {
		for _, since := range m.types[t].waiting {
			if due := since + m.options.Missing; !ok || due < at {
				at, ok = due, true
			}
		}
	}
	return at, ok
}
