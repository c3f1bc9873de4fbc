package controlplane

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	wildcard  = "*" // the name that subscribes to all resources of a type
	noVersion = -1  // the last version of a subscription before its first response
)

// request has the fields of a client's request that the server uses, in either variant.
type request struct {
	url, nonce, errorDetail string
	version                 string            // state of the world: version_info
	names                   []string          // state of the world: resource_names, the complete subscription
	subscribe, unsubscribe  []string          // incremental: names to add to and to remove from the subscription
	initial                 map[string]string // incremental: initial_resource_versions
}

// stream is an open stream of a client, in either variant.
type stream struct {
	server        *Server
	delta         bool // whether the stream uses the incremental variant
	receive       func() (*request, error)
	send          func(proto.Message) error
	subscriptions map[string]*subscription // by type URL
}

// subscription is a stream's subscription to resources of one type, with the versions that were sent.
type subscription struct {
	names       map[string]bool
	all         bool           // whether the subscription includes all resources of the type
	nonce       string         // nonce of the last response
	sent        map[string]int // version of each resource that was sent, by name
	lastVersion int            // version of the type in the last response, or noVersion
}

func (s *subscription) includes(name string) bool { return s.all || s.names[name] }

// discoveryRequest is a request of either variant.
type discoveryRequest interface {
	GetTypeUrl() string
	GetResponseNonce() string
	GetErrorDetail() *status.Status
}

// newRequest returns a request with the fields that both variants have.
func newRequest(r discoveryRequest) *request {
	return &request{url: r.GetTypeUrl(), nonce: r.GetResponseNonce(), errorDetail: r.GetErrorDetail().GetMessage()}
}

// StreamAggregatedResources implements the state-of-the-world variant.
func (p *Server) StreamAggregatedResources(
	s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer,
) error {
	receive := func() (*request, error) {
		r, err := s.Recv()
		if err != nil {
			return nil, err
		}
		q := newRequest(r)
		q.version, q.names = r.GetVersionInfo(), r.GetResourceNames()
		return q, nil
	}
	send := func(m proto.Message) error { return s.SendMsg(m) }
	return (&stream{server: p, receive: receive, send: send}).serve(s.Context())
}

// DeltaAggregatedResources implements the incremental variant.
func (p *Server) DeltaAggregatedResources(
	s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer,
) error {
	receive := func() (*request, error) {
		r, err := s.Recv()
		if err != nil {
			return nil, err
		}
		q := newRequest(r)
		q.subscribe, q.unsubscribe = r.GetResourceNamesSubscribe(), r.GetResourceNamesUnsubscribe()
		q.initial = r.GetInitialResourceVersions()
		return q, nil
	}
	send := func(m proto.Message) error { return s.SendMsg(m) }
	return (&stream{server: p, delta: true, receive: receive, send: send}).serve(s.Context())
}

// serve handles requests and sends changed resources until the stream ends.
func (s *stream) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.server.registerStream(cancel)()
	requests := make(chan *request)
	go s.receiveAll(ctx, cancel, requests)
	s.subscriptions = map[string]*subscription{}
	stopped := false
	for {
		changed := s.server.nextChange()
		if !stopped {
			err := s.sendChanges()
			if stopped = errors.Is(err, errStopSending); err != nil && !stopped {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case r := <-requests:
			s.handle(r)
		}
	}
}

// registerStream registers a stream as registerStream. The caller must call the result when the stream ends.
func (p *Server) registerStream(cancel context.CancelCauseFunc) (closed func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	id := p.opened
	p.streams[id] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.streams, id)
	}
}

// nextChange returns a channel that is closed when resources change.
func (p *Server) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// receiveAll sends the requests of the stream to the channel requests until the stream ends, and then cancels the stream.
func (s *stream) receiveAll(ctx context.Context, cancel context.CancelCauseFunc, requests chan<- *request) {
	for {
		r, err := s.receive()
		if err != nil {
			cancel(err)
			return
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

// sendChanges sends the responses that are due, for each subscribed type. The fault StopSending makes it return
// errStopSending.
func (s *stream) sendChanges() error {
	for _, url := range slices.Sorted(maps.Keys(s.subscriptions)) {
		m, err := s.server.response(url, s.subscriptions[url], s.delta)
		if err != nil {
			return err
		}
		if m == nil {
			continue
		}
		if err := s.send(m); err != nil {
			return err
		}
	}
	return nil
}

// handle updates the subscriptions according to a request and records an ACK or a NACK.
func (s *stream) handle(r *request) {
	x := s.subscriptions[r.url]
	if x == nil {
		x = s.server.newSubscription(r, s.delta)
		s.subscriptions[r.url] = x
	} else if r.nonce != "" {
		if r.nonce != x.nonce { // the request is stale: the client sent it before it got the latest response
			return
		}
		s.server.recordAck(r)
	}
	if s.delta {
		x.update(r.subscribe, r.unsubscribe)
	} else {
		x.replace(r.names)
	}
}

// newSubscription returns the subscription that the first request of a type on a stream opens.
func (p *Server) newSubscription(r *request, delta bool) *subscription {
	x := &subscription{names: map[string]bool{}, sent: map[string]int{}, lastVersion: noVersion}
	x.all = !delta && len(r.names) == 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if delta {
		p.initial = append(p.initial, r.initial)
	}
	for name, version := range r.initial {
		x.sent[name] = parseVersion(version, 0)
	}
	t := p.typeOf(r.url)
	// A client that names the current version of the type has all resources of that version.
	if !delta && r.version != "" && parseVersion(r.version, noVersion) == t.version {
		x.lastVersion = t.version
		for name, resource := range t.resources {
			x.sent[name] = resource.version
		}
	}
	return x
}

// parseVersion returns the number that text begins with, or otherwise if there is none.
func parseVersion(text string, otherwise int) int {
	fmt.Sscanf(text, "%d", &otherwise)
	return otherwise
}

func (p *Server) recordAck(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.acks) < maxAcks {
		p.acks = append(p.acks, Ack{r.url, r.nonce, r.errorDetail, time.Now()})
	}
}

// replace replaces the subscribed names, and deletes the sent versions of resources that are no longer included.
func (s *subscription) replace(names []string) {
	s.names = map[string]bool{}
	for _, n := range names {
		s.names[n] = true
	}
	for n := range s.sent {
		if !s.includes(n) {
			delete(s.sent, n)
		}
	}
}

// update adds names to the subscription and removes names from it, together with their sent versions.
func (s *subscription) update(subscribe, unsubscribe []string) {
	for _, n := range subscribe {
		if n == wildcard {
			s.all = true
			continue
		}
		s.names[n] = true
	}
	for _, n := range unsubscribe {
		delete(s.names, n)
		delete(s.sent, n)
	}
}
