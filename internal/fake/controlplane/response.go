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

// URLs of the types that this package treats specially. nodeURL is the wrong type of the fault WrongType.
const (
	clusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	listenerURL = "type.googleapis.com/envoy.config.listener.v3.Listener"
	nodeURL     = "type.googleapis.com/envoy.config.core.v3.Node"
)

// Fault is a fault that is injected into one response.
type Fault int

// The faults of responses.
const (
	None               Fault = iota
	WrongNonce               // the response has the nonce of the previous response
	NoNonce                  // the response has an empty nonce
	Reset                    // the stream ends with an error instead of the response
	StopSending              // the stream sends no further response
	DuplicateResources       // the response has each resource twice
	WrongType                // the response has the URL of another type
	OmitHalf                 // the response has every second resource only; a later response has the others
	InvalidBodies            // the response has resource bodies that can't be decoded
)

// errStopSending is the error of a response with the fault StopSending.
var errStopSending = errors.New("stream stopped sending by an injected fault")

// QueueFaults queues faults. Each following response takes one fault, in order.
func (p *Server) QueueFaults(faults ...Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, faults...)
}

// PendingFaults returns the number of queued faults that no response has taken yet.
func (p *Server) PendingFaults() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.faults)
}

// nextFault removes and returns the fault of the next response, or None. The caller holds p.mu.
func (p *Server) nextFault() Fault {
	if len(p.faults) == 0 {
		return None
	}
	fault := p.faults[0]
	p.faults = p.faults[1:]
	return fault
}

// isComplete reports whether a state-of-the-world response for a type lists all resources, so that the client removes
// those that are missing.
func isComplete(url string) bool { return url == clusterURL || url == listenerURL }

// response returns the response that is due for a subscription, or nil if none is. The fault StopSending makes it return
// errStopSending, and the fault Reset the error that ends the stream.
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
		return nil, status.Error(codes.Unavailable, "stream ended by an injected fault")
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

// nextNonce returns the nonce of the response that follows a response with the nonce last. The caller holds p.mu.
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

// changedSince returns the sorted names of the subscribed resources that were sent in another version or not at all.
func (t *resourceType) changedSince(s *subscription) []string {
	return slices.DeleteFunc(t.subscribed(s), func(name string) bool {
		return s.sent[name] == t.resources[name].version
	})
}

// removedSince returns the sorted names of the resources that were sent for a subscription and no longer exist.
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

// encode returns resources as messages of the incremental variant, with the fault applied to their bodies or number.
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
