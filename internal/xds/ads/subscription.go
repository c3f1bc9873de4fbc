package ads

import (
	"maps"
	"slices"
	"time"
)

// wildcardName subscribes to all resources of a type, in the incremental variant.
const wildcardName = "*"

// foreignVersion is a version that no control plane has.
const foreignVersion = "of another control plane"

// initialRequest returns the first request of a type on a stream.
//
// A control plane that did not give the known versions may mean something else by the same version, and would then send
// nothing. So it is sent no version, or in the incremental variant one that it can't have.
func (m *Machine) initialRequest(now time.Duration, t Type) Request {
	s := &m.types[t]
	s.requested = true
	s.awaitUnknown(now, maps.Keys(s.subscribed))
	sameServer := s.lastServer == m.server
	r := Request{Type: t}
	if m.options.Variant == StateOfTheWorld {
		r.Names = m.requestNames(t)
		// Nor is the version sent while a name is not known: a control plane without a newer one would send nothing.
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
	if !sameServer { // the names are sent so that the control plane reports those that it does not have
		for name := range r.InitialVersions {
			r.InitialVersions[name] = foreignVersion
		}
	}
	return r
}

// requestNames returns the names that requests of a type list, sorted; nil for all.
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

// Subscribe sets the names of a type that are subscribed to. What is known of others is forgotten. It returns the
// requests that are due and the names past MaxResources, which are left out.
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
	s.awaitUnknown(now, slices.Values(added))
	return []Request{m.subscriptionRequest(t, added, removed)}, overLimit
}

// setSubscribed replaces the names that are subscribed to, and returns the difference.
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

// subscriptionRequest returns the request of a changed subscription.
func (m *Machine) subscriptionRequest(t Type, added, removed []string) Request {
	if m.options.Variant == Incremental {
		slices.Sort(added)
		slices.Sort(removed)
		return Request{Type: t, Subscribe: added, Unsubscribe: removed}
	}
	r := Request{Type: t, Nonce: m.types[t].lastNonce}
	m.setState(&r)
	return r
}

// setState sets the accepted version and the names of a state-of-the-world request that is not a stream's first.
func (m *Machine) setState(r *Request) {
	r.Version, r.Names = m.types[r.Type].acceptedVersion, m.requestNames(r.Type)
	if r.Names == nil && !m.options.Wildcard[r.Type] {
		r.Names = []string{}
	}
}
