package ads

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// serverModel is a model of a control plane that has resources of one type and one stream. It sends the resources that
// the client does not have.
type serverModel struct {
	delta     bool
	content   map[string]string // by resource name
	version   map[string]int    // by resource name
	last      int               // the last version of any resource
	lastNonce int

	// The fields below are reset when a stream opens.

	subscribed map[string]bool // nil before the first stream
	wildcard   bool
	sent       map[string]int // the version that the client has, by resource name
	requested  bool           // a response is due even if nothing has changed
}

// put creates or changes a resource.
func (s *serverModel) put(name, content string) {
	s.last++
	s.content[name], s.version[name] = content, s.last
}

// remove removes a resource.
func (s *serverModel) remove(name string) {
	s.last++
	delete(s.content, name)
	delete(s.version, name)
}

// open starts a stream and receives its first requests.
func (s *serverModel) open(t Type, requests []Request) {
	s.subscribed, s.sent = map[string]bool{}, map[string]int{}
	s.wildcard, s.requested = false, false
	for _, r := range requests {
		if r.Type != t {
			continue
		}
		s.wildcard = s.delta && slices.Contains(r.Subscribe, "*") || !s.delta && len(r.Names) == 0
		s.requested = true
		for name, v := range r.InitialVersions {
			s.sent[name], _ = strconv.Atoi(v)
		}
		if !s.delta && r.Version == fmt.Sprint(s.last) { // the client has this version
			s.requested = false
			maps.Copy(s.sent, s.version)
		}
		s.receive(r)
	}
}

// receive applies the subscriptions of a request.
func (s *serverModel) receive(r Request) {
	if s.delta {
		for _, n := range r.Subscribe {
			s.subscribed[n] = true
		}
		for _, n := range r.Unsubscribe {
			delete(s.subscribed, n)
			delete(s.sent, n)
		}
		return
	}
	if s.wildcard {
		return
	}
	s.subscribed = map[string]bool{}
	for _, n := range r.Names {
		s.subscribed[n] = true
	}
	for n := range s.sent {
		if !s.subscribed[n] {
			delete(s.sent, n)
		}
	}
}

// nextResponse returns the response that is due, or nil if no response is due.
func (s *serverModel) nextResponse(t Type) *Response {
	r := &Response{URL: t.URL()}
	changed := s.requested && !s.delta && t.listsAll()
	for _, name := range slices.Sorted(maps.Keys(s.content)) {
		isSubscribed := s.wildcard || s.subscribed[name]
		if isSubscribed && s.sent[name] != s.version[name] {
			changed = true
		} else if s.delta || !t.listsAll() || !isSubscribed {
			continue
		}
		res := Resource{Body: body(t, name, s.content[name])}
		if s.delta {
			res.Name, res.Version = name, fmt.Sprint(s.version[name])
		}
		r.Resources = append(r.Resources, res)
	}
	for name := range s.sent {
		if _, there := s.content[name]; !there {
			r.Removed = append(r.Removed, name)
			changed = changed || s.delta || t.listsAll()
		}
	}
	if !changed {
		return nil
	}
	s.lastNonce++
	s.requested = false
	r.Nonce, r.Version = fmt.Sprint("n", s.lastNonce), fmt.Sprint(s.last)
	for _, name := range r.Removed {
		delete(s.sent, name)
	}
	if !s.delta {
		r.Removed = nil
	}
	for name, v := range s.version {
		if s.wildcard || s.subscribed[name] {
			s.sent[name] = v
		}
	}
	return r
}
