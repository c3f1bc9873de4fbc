package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// URLs of types that matter here.
const (
	clusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	listenerURL = "type.googleapis.com/envoy.config.listener.v3.Listener"
	nodeURL     = "type.googleapis.com/envoy.config.core.v3.Node"
)

// Fault is a fault of one response.
type Fault int

// The faults of responses.
const (
	None               Fault = iota
	WrongNonce               // the nonce of the response before
	NoNonce                  // an empty nonce
	Reset                    // the stream breaks in place of the response
	StopSending              // no response on this stream from now on
	DuplicateResources       // each resource twice
	WrongType                // the URL of another type
	OmitHalf                 // every second resource alone; a later response has the others
	InvalidBodies            // bodies that can't be decoded
)

// errStopSending is the error of a response with the fault StopSending.
var errStopSending = errors.New("silent on request")

// QueueFaults queues faults: each response to come takes one, in their order.
func (p *Server) QueueFaults(faults ...Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, faults...)
}

// PendingFaults is how many queued faults no response has taken yet.
func (p *Server) PendingFaults() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.faults)
}

// nextFault takes the fault of the next response; p.mu is locked.
func (p *Server) nextFault() Fault {
	if len(p.faults) == 0 {
		return None
	}
	fault := p.faults[0]
	p.faults = p.faults[1:]
	return fault
}

// isComplete reports whether a state-of-the-world response has all resources of a type, so that others are removed.
func isComplete(url string) bool { return url == clusterURL || url == listenerURL }

// response makes the response that is due for a subscription, or nil. It returns errStopSending, or the stream's error,
// if a fault says so.
func (p *Server) response(url string, s *subscription, delta bool) (proto.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.typeOf(url)
	changed, removed := t.changedSince(s), t.removedSince(s)
	complete := !delta && isComplete(url)
	first := s.lastVersion == noVersion
	if len(changed)+len(removed) == 0 && !(complete && first) { // a complete response may be empty
		return nil, nil
	}
	fault := p.nextFault()
	switch fault {
	case StopSending:
		return nil, errStopSending
	case Reset:
		return nil, status.Error(codes.Unavailable, "reset on request")
	}
	if complete {
		changed = t.subscribed(s)
	}
	if fault == OmitHalf {
		changed = everySecond(changed)
	}
	for _, name := range removed {
		delete(s.sent, name)
	}
	for _, name := range changed {
		s.sent[name] = t.resources[name].version
	}
	s.lastVersion = t.version
	s.nonce = p.nextNonce(s.nonce, fault)
	if fault == WrongType {
		url = nodeURL
	}
	resources := t.encode(changed, fault)
	if delta {
		return &discoveryv3.DeltaDiscoveryResponse{
			TypeUrl:           url,
			Nonce:             s.nonce,
			SystemVersionInfo: fmt.Sprint(t.version),
			Resources:         resources,
			RemovedResources:  removed,
		}, nil
	}
	m := &discoveryv3.DiscoveryResponse{TypeUrl: url, Nonce: s.nonce, VersionInfo: fmt.Sprint(t.version)}
	for _, r := range resources {
		m.Resources = append(m.Resources, r.Resource)
	}
	return m, nil
}

// nextNonce returns the nonce of a response after one with the nonce last; p.mu is locked.
func (p *Server) nextNonce(last string, fault Fault) string {
	p.nonces++
	switch fault {
	case WrongNonce:
		return last
	case NoNonce:
		return ""
	}
	return fmt.Sprintf("n%d", p.nonces)
}

// subscribed returns the names of the resources that a subscription includes, sorted.
func (t *resourceType) subscribed(s *subscription) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(t.resources)) {
		if s.includes(name) {
			names = append(names, name)
		}
	}
	return names
}

// changedSince returns the names of the resources of which a subscription has no or another version.
func (t *resourceType) changedSince(s *subscription) []string {
	return slices.DeleteFunc(t.subscribed(s), func(name string) bool {
		return s.sent[name] == t.resources[name].version
	})
}

// removedSince returns the names of the resources that a subscription has and that no longer exist, sorted.
func (t *resourceType) removedSince(s *subscription) (names []string) {
	for name := range s.sent {
		if _, exists := t.resources[name]; !exists {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// everySecond returns the second, fourth and so on of names.
func everySecond(names []string) (half []string) {
	for i := 1; i < len(names); i += 2 {
		half = append(half, names[i])
	}
	return half
}

// encode returns resources in the form of the incremental variant.
func (t *resourceType) encode(names []string, fault Fault) (list []*discoveryv3.Resource) {
	for _, name := range names {
		r := t.resources[name]
		body := r.body
		if fault == InvalidBodies {
			body = &anypb.Any{TypeUrl: body.TypeUrl, Value: []byte("\xff\xfe no message")}
		}
		encoded := &discoveryv3.Resource{Name: name, Version: fmt.Sprint(r.version), Resource: body}
		list = append(list, encoded)
		if fault == DuplicateResources {
			list = append(list, encoded)
		}
	}
	return list
}
