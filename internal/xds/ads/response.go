package ads

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"slices"
)

// Receive handles a response. It returns the changes and the ACK or NACK to send. If the response can't be used, Receive
// returns an error and changes nothing, and no ACK or NACK is to be sent.
func (m *Machine) Receive(r *Response) (u Update, answers []Request, err error) {
	t, ok := TypeByURL(r.URL)
	if !ok || !m.types[t].requested {
		return u, nil, fmt.Errorf("response of type %.200q, which was not requested", r.URL)
	}
	s := &m.types[t]
	switch {
	case !m.streamOpen:
		return u, nil, errors.New("response received while no stream is open")
	case r.Nonce == "":
		return u, nil, fmt.Errorf("%v: response has no nonce", t)
	case slices.Contains(s.answeredNonces, r.Nonce):
		return u, nil, fmt.Errorf("%v: response repeats nonce %.64q, which was answered before", t, r.Nonce)
	}
	m.responseReceived, s.lastServer = true, m.server
	s.recordAnsweredNonce(r.Nonce)
	u, errs := m.acceptResources(t, r)
	answer := Request{Type: t, Nonce: r.Nonce, ErrorDetail: errorDetail(errs)}
	if m.options.Variant == StateOfTheWorld {
		if len(errs) == 0 {
			s.acceptedVersion = r.Version
		}
		m.setStateOfTheWorldFields(&answer)
	}
	return u, []Request{answer}, nil
}

// recordAnsweredNonce records that the response with a nonce is answered. The oldest nonce is dropped if there are more
// than maxAnsweredNonces.
func (s *typeState) recordAnsweredNonce(nonce string) {
	s.lastNonce = nonce
	s.answeredNonces = append(s.answeredNonces, nonce)
	if len(s.answeredNonces) > maxAnsweredNonces {
		s.answeredNonces = slices.Delete(s.answeredNonces, 0, 1)
	}
}

// acceptance is the state while the resources of one response are accepted or rejected.
type acceptance struct {
	machine  *Machine
	state    *typeState // the state of the response's type
	response *Response
	update   Update
	seen     map[string]bool // names of resources in the response
	errs     []error         // errors of rejected resources
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
		a.processResource(&r.Resources[i])
	}
	if t.listsAll() && m.options.Variant == StateOfTheWorld {
		a.removeAbsent()
		a.reportAbsent()
	} else {
		a.removeNamed()
	}
	return a.update, a.errs
}

// processResource accepts or rejects a resource. A rejected resource counts as seen, so that its last valid form is not
// removed.
func (a *acceptance) processResource(res *Resource) {
	s, t := a.state, a.update.Type
	if res.Body == nil || res.Body.TypeUrl != t.URL() {
		a.reject(res.Name, fmt.Errorf("the type URL is %.200q, which is not the type of the response", res.Body.GetTypeUrl()))
		if res.Name != "" {
			a.seen[res.Name] = true
		}
		return
	}
	hash := maphash.Bytes(a.machine.seed, res.Body.Value)
	if a.acceptUnchanged(res, hash) {
		return
	}
	name, value, err := a.machine.options.Decode(t, res.Body)
	if name = cmp.Or(name, res.Name); name == "" || len(name) > MaxNameBytes {
		a.reject(name, fmt.Errorf("the name is not 1 to %d bytes long", MaxNameBytes))
		return
	}
	duplicate := a.seen[name]
	a.seen[name] = true
	_, known := s.versions[name]
	switch {
	case duplicate:
		a.reject(name, errors.New("the response has more than one resource of this name"))
	case res.Name != "" && res.Name != name:
		a.reject(res.Name, fmt.Errorf("the resource itself has the name %q", name))
		a.seen[res.Name] = true
	case !a.machine.subscribes(t, name):
		return
	case err != nil:
		a.reject(name, err)
	case !known && len(s.versions) >= MaxResources:
		a.reject(name, fmt.Errorf("the limit of %d resources of one type is reached", MaxResources))
	default:
		a.accept(ValidResource{Name: name, Version: a.version(res), Value: value, Body: res.Body}, hash)
	}
	delete(s.pendingSince, name)
}

// acceptUnchanged accepts a resource whose bytes are in force already, without decoding it, and reports whether it did.
// Control planes often send unchanged resources along with changed ones.
func (a *acceptance) acceptUnchanged(res *Resource, hash uint64) bool {
	name, found := a.state.nameByHash[hash]
	if !found || a.seen[name] || res.Name != "" && res.Name != name {
		return false
	}
	a.seen[name] = true
	a.state.versions[name] = a.version(res)
	return true
}

// version returns the version of a resource, or the version of the response if the resource has none.
func (a *acceptance) version(res *Resource) string { return cmp.Or(res.Version, a.response.Version) }

// accept records the version and hash of an accepted resource, and adds the resource to the update.
func (a *acceptance) accept(r ValidResource, hash uint64) {
	s := a.state
	delete(s.nameByHash, s.hashes[r.Name])
	s.versions[r.Name], s.hashes[r.Name], s.nameByHash[hash] = r.Version, hash, r.Name
	a.update.Accepted = append(a.update.Accepted, r)
}

// reject records why a resource is rejected.
func (a *acceptance) reject(name string, err error) {
	if name == "" {
		name = "resource without a name"
	}
	a.errs = append(a.errs, fmt.Errorf("%.*s: %w", MaxNameBytes, name, err))
}

// removeNamed removes the resources that an incremental response lists as removed.
func (a *acceptance) removeNamed() {
	s := a.state
	for _, name := range a.response.Removed {
		if _, known := s.versions[name]; known || s.subscribed[name] {
			s.forget(name)
			a.update.Removed = append(a.update.Removed, name)
		}
	}
}

// removeAbsent removes the resources that are absent from a response that lists all resources of the type.
func (a *acceptance) removeAbsent() {
	for name := range a.state.versions {
		if !a.seen[name] {
			a.state.forget(name)
			a.update.Removed = append(a.update.Removed, name)
		}
	}
	slices.Sort(a.update.Removed)
}

// reportAbsent reports as missing the requested resources that are absent from a response that lists all resources of
// the type: the control plane does not have them.
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
