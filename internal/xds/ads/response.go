package ads

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"slices"
)

// Receive takes a response. It returns what has changed and the ACK or NACK that is due. The error is about a response
// that can't be used, to which none is due.
func (m *Machine) Receive(r *Response) (u Update, answers []Request, err error) {
	t, ok := TypeByURL(r.URL)
	if !ok || !m.types[t].requested {
		return u, nil, fmt.Errorf("a response of type %.200q, which was not asked for", r.URL)
	}
	s := &m.types[t]
	switch {
	case !m.streamOpen:
		return u, nil, errors.New("a response with no stream open")
	case r.Nonce == "":
		return u, nil, fmt.Errorf("%v: a response with no nonce", t)
	case slices.Contains(s.answeredNonces, r.Nonce):
		return u, nil, fmt.Errorf("%v: nonce %.64q was answered before", t, r.Nonce)
	}
	m.responseReceived, s.lastServer = true, m.server
	s.noteNonce(r.Nonce)
	u, errs := m.acceptResources(t, r)
	answer := Request{Type: t, Nonce: r.Nonce, ErrorDetail: errorDetail(errs)}
	if m.options.Variant == StateOfTheWorld {
		if len(errs) == 0 {
			s.acceptedVersion = r.Version
		}
		m.setState(&answer)
	}
	return u, []Request{answer}, nil
}

// noteNonce records that a nonce is answered.
func (s *typeState) noteNonce(nonce string) {
	s.lastNonce = nonce
	s.answeredNonces = append(s.answeredNonces, nonce)
	if len(s.answeredNonces) > maxAnsweredNonces {
		s.answeredNonces = slices.Delete(s.answeredNonces, 0, 1)
	}
}

// acceptance is the acceptance of one response's resources.
type acceptance struct {
	machine  *Machine
	state    *typeState // of the response's type
	response *Response
	update   Update
	seen     map[string]bool // names in the response
	errs     []error         // of rejected resources
}

// acceptResources accepts or rejects the resources of a response, and applies its removals.
func (m *Machine) acceptResources(t Type, r *Response) (Update, []error) {
	a := &acceptance{
		machine:  m,
		state:    &m.types[t],
		response: r,
		update:   Update{Type: t},
		seen:     make(map[string]bool, len(r.Resources)),
	}
	for i := range r.Resources {
		a.take(&r.Resources[i])
	}
	if t.listsAll() && m.options.Variant == StateOfTheWorld {
		a.removeAbsent()
		a.reportAbsent()
	} else {
		a.removeNamed()
	}
	return a.update, a.errs
}

// take accepts or rejects a resource. One that is rejected counts as seen, so that its last valid form stays.
func (a *acceptance) take(res *Resource) {
	s, t := a.state, a.update.Type
	if res.Body == nil || res.Body.TypeUrl != t.URL() {
		a.reject(res.Name, fmt.Errorf("its type is %.200q", res.Body.GetTypeUrl()))
		if res.Name != "" {
			a.seen[res.Name] = true
		}
		return
	}
	hash := maphash.Bytes(a.machine.seed, res.Body.Value)
	if a.takeUnchanged(res, hash) {
		return
	}
	name, value, err := a.machine.options.Decode(t, res.Body)
	if name = cmp.Or(name, res.Name); name == "" || len(name) > MaxNameBytes {
		a.reject(name, fmt.Errorf("a name has 1 to %d bytes", MaxNameBytes))
		return
	}
	duplicate := a.seen[name]
	a.seen[name] = true
	_, known := s.versions[name]
	switch {
	case duplicate:
		a.reject(name, errors.New("stands there twice"))
	case res.Name != "" && res.Name != name:
		a.reject(res.Name, fmt.Errorf("the resource in it is named %q", name))
		a.seen[res.Name] = true
	case !a.machine.subscribes(t, name):
		return
	case err != nil:
		a.reject(name, err)
	case !known && len(s.versions) >= MaxResources:
		a.reject(name, fmt.Errorf("there are %d already", MaxResources))
	default:
		a.accept(ValidResource{Name: name, Version: a.version(res), Value: value, Body: res.Body}, hash)
	}
	delete(s.pendingSince, name)
}

// takeUnchanged reports whether a resource has the bytes that are in force; it is not decoded then. Control planes send
// resources that have not changed with those that have.
func (a *acceptance) takeUnchanged(res *Resource, hash uint64) bool {
	name, found := a.state.nameByHash[hash]
	if !found || a.seen[name] || res.Name != "" && res.Name != name {
		return false
	}
	a.seen[name] = true
	a.state.versions[name] = a.version(res)
	return true
}

// version returns the version of a resource: its own, or the response's.
func (a *acceptance) version(res *Resource) string { return cmp.Or(res.Version, a.response.Version) }

// accept puts a resource in force.
func (a *acceptance) accept(r ValidResource, hash uint64) {
	s := a.state
	delete(s.nameByHash, s.hashes[r.Name])
	s.versions[r.Name], s.hashes[r.Name], s.nameByHash[hash] = r.Version, hash, r.Name
	a.update.Accepted = append(a.update.Accepted, r)
}

// reject adds an error about a resource.
func (a *acceptance) reject(name string, err error) {
	if name == "" {
		name = "one with no name"
	}
	a.errs = append(a.errs, fmt.Errorf("%.*s: %w", MaxNameBytes, name, err))
}

// removeNamed removes the resources that an incremental response names.
func (a *acceptance) removeNamed() {
	s := a.state
	for _, name := range a.response.Removed {
		if _, known := s.versions[name]; known || s.subscribed[name] {
			s.forget(name)
			a.update.Removed = append(a.update.Removed, name)
		}
	}
}

// removeAbsent removes the resources that a response with all of them does not have.
func (a *acceptance) removeAbsent() {
	for name := range a.state.versions {
		if !a.seen[name] {
			a.state.forget(name)
			a.update.Removed = append(a.update.Removed, name)
		}
	}
	slices.Sort(a.update.Removed)
}

// reportAbsent reports the names that are subscribed to and not in a response with all resources: they do not exist.
func (a *acceptance) reportAbsent() {
	s := a.state
	for name := range s.subscribed {
		if a.seen[name] || s.versions[name] != "" {
			continue
		}
		if _, pending := s.pendingSince[name]; pending {
			delete(s.pendingSince, name)
			a.update.Missing = append(a.update.Missing, name)
		}
	}
	slices.Sort(a.update.Missing)
}
