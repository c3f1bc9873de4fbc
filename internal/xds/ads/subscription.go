package ads

import (
	"maps"
	"slices"
	"time"
)

// wildcardName is the name that subscribes to all resources of a type in the incremental variant.
const wildcardName = "*"

// unknownVersion is sent in place of a resource's version that another control plane has set. No control plane is
// expected to use it as a version.
const unknownVersion = "of another control plane"

// initialRequest returns the first request of a type on a stream.
//
// Another control plane than the one that set the accepted versions may use the same version for other content, and
// would then not send that content. So initialRequest sends such a control plane no version, or unknownVersion for each
// resource in the incremental variant.
func (m *Machine) initialRequest(now time.Duration, t Type) Request {
	s := &m.types[t]
	s.requested = true
	s.startMissingTimeouts(now, maps.Keys(s.subscribed))
	sameServer := s.lastServer == m.server
	r := Request{Type: t}
	if m.options.Variant == StateOfTheWorld {
		r.Names = m.requestNames(t)
		// The version is also omitted while a requested resource is unknown: a control plane without a newer version would
		// send nothing.
		if len(s.pendingSince) == 0 && sameServer {
			r.Version = s.acceptedVersion
		}
		return r
	}
	r.Subscribe = m.requestNames(t)
	if m.options.Wildcard[t] {
		r.Subscribe = append([]string{wildcardName}, r.Subscribe...)
	}
	r.InitialVersions = maps.Clone(s.versions)
	if !sameServer { // the names are sent so that the control plane reports resources that it does not have as removed
		for name := range r.InitialVersions {
			r.InitialVersions[name] = unknownVersion
		}
	}
	return r
}

// requestNames returns the names that a request of a type lists, sorted; nil for all resources of the type.
func (m *Machine) requestNames(t Type) []string {
	if m.options.Wildcard[t] {
		return nil
	}
	return slices.Sorted(maps.Keys(m.types[t].subscribed))
}

// subscribes reports whether a resource is subscribed to.
func (m *Machine) subscribes(t Type, name string) bool {
	return m.options.Wildcard[t] || m.types[t].subscribed[name]
}

// Subscribe sets the names of a type that are subscribed to, and forgets the resources with other names. It returns the
// requests to send, and the names over the limit of MaxResources, which are not subscribed to.
func (m *Machine) Subscribe(now time.Duration, t Type, names []string) (out []Request, overLimit []string) {
	if m.options.Wildcard[t] {
		return nil, nil
	}
	if len(names) > MaxResources {
		names, overLimit = names[:MaxResources], names[MaxResources:]
	}
	s := &m.types[t]
	added, removed := s.setSubscribed(names)
	if len(added)+len(removed) == 0 || !m.streamOpen {
		return nil, overLimit
	}
	if !s.requested {
		if len(names) == 0 { // a first request without names would subscribe to all
			return nil, overLimit
		}
		return []Request{m.initialRequest(now, t)}, overLimit
	}
	s.startMissingTimeouts(now, slices.Values(added))
	return []Request{m.subscriptionRequest(t, added, removed)}, overLimit
}

// setSubscribed replaces the names that are subscribed to, and returns the added and removed names.
func (s *typeState) setSubscribed(names []string) (added, removed []string) {
	next := map[string]bool{}
	for _, name := range names {
		if next[name] = true; !s.subscribed[name] {
			added = append(added, name)
		}
	}
	for name := range s.subscribed {
		if !next[name] {
			removed = append(removed, name)
			s.forget(name)
		}
	}
	s.subscribed = next
	return added, removed
}

// subscriptionRequest returns the request that tells the control plane of a changed subscription.
func (m *Machine) subscriptionRequest(t Type, added, removed []string) Request {
	if m.options.Variant == Incremental {
		slices.Sort(added)
		slices.Sort(removed)
		return Request{Type: t, Subscribe: added, Unsubscribe: removed}
	}
	r := Request{Type: t, Nonce: m.types[t].lastNonce}
	m.setStateOfTheWorldFields(&r)
	return r
}

// setStateOfTheWorldFields sets the accepted version and the names of a state-of-the-world request that is not the
// stream's first request of its type.
func (m *Machine) setStateOfTheWorldFields(r *Request) {
	r.Version, r.Names = m.types[r.Type].acceptedVersion, m.requestNames(r.Type)
	if r.Names == nil && !m.options.Wildcard[r.Type] {
		r.Names = []string{}
	}
}
