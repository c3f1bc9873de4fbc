// Package controlplane is a fake control plane that speaks Envoy's aggregated discovery service on loopback, in its
// state-of-the-world and its incremental variant. It serves the resources that the caller sets, records ACKs and NACKs,
// and injects faults into responses. It follows "xDS REST and gRPC protocol" in Envoy's documentation, and shares no
// code with the client.
//
//   - controlplane.go: start and stop of the server, its resources and its records
//   - stream.go: the streams of clients and their subscriptions
//   - response.go: responses and their faults
package controlplane

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	maxAcks         = 1 << 16   // number of ACKs and NACKs that are recorded; later ones are ignored
	maxMessageBytes = 256 << 20 // size of a response
)

// Ack is an ACK, or a NACK if Error is not empty.
type Ack struct {
	URL, Nonce, Error string
	At                time.Time
}

// Server is a fake control plane. Create it with Start. Its methods are safe for concurrent use.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	mu      sync.Mutex
	addr    string
	server  *grpc.Server             // nil while the control plane is down
	ended   chan struct{}            // closed when server has ended
	types   map[string]*resourceType // by type URL
	changed chan struct{}            // closed when resources change
	faults  []Fault                  // faults of the next responses, in order
	nonces  int                      // number of nonces assigned so far

	streams map[int]context.CancelCauseFunc // cancel functions of the open streams, by stream number
	opened  int                             // number of streams opened so far
	acks    []Ack
	initial []map[string]string // initial_resource_versions of the first request of each type on each stream
}

// resourceType holds the resources of one type.
type resourceType struct {
	version   int
	resources map[string]resource // by name
}

type resource struct {
	version int // version of the type at which the resource was set
	body    *anypb.Any
}

// Start starts a control plane without resources on a free port of 127.0.0.1. It fails only if it can't listen.
func Start() (*Server, error) {
	p := &Server{
		addr:    "127.0.0.1:0",
		types:   map[string]*resourceType{},
		changed: make(chan struct{}),
		streams: map[int]context.CancelCauseFunc{},
	}
	return p, p.Up()
}

// Addr returns the address that the control plane listens on. It stays the same after Down and Up.
func (p *Server) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Up starts the control plane at its address. It does nothing while the control plane runs, and fails only if it can't
// listen.
func (p *Server) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("starting the fake control plane: %w", err)
	}
	p.addr = l.Addr().String()
	s, ended := grpc.NewServer(grpc.MaxSendMsgSize(maxMessageBytes)), make(chan struct{})
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, p)
	p.server, p.ended = s, ended
	go func() {
		defer close(ended)
		s.Serve(l) // returns after Down
	}()
	return nil
}

// Down stops the control plane at once: streams break, and new connections are refused.
func (p *Server) Down() {
	p.mu.Lock()
	s, ended := p.server, p.ended
	p.server = nil
	p.mu.Unlock()
	if s != nil {
		s.Stop()
		<-ended
	}
}

// BreakStreams ends all streams. Clients can open new ones.
func (p *Server) BreakStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cancel := range p.streams {
		cancel(status.Error(codes.Unavailable, "stream ended by BreakStreams of the fake control plane"))
	}
}

// SetResources sets resources by name, and sends those that changed to subscribed streams. It fails only if a resource
// can't be encoded.
func (p *Server) SetResources(named map[string]proto.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		body, err := anypb.New(named[name])
		if err != nil {
			return err
		}
		p.setResource(name, body, touched)
	}
	p.publish(touched)
	return nil
}

// SetBody sets a resource to a body that may be invalid, and sends the resource to subscribed streams if it changed.
func (p *Server) SetBody(name string, body *anypb.Any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := map[string]bool{}
	p.setResource(name, body, touched)
	p.publish(touched)
}

// setResource sets a resource and, if the resource changed, adds its type to touched. All changes of a type that are made with
// the same touched map get the same version of the type. The caller holds p.mu.
func (p *Server) setResource(name string, body *anypb.Any, touched map[string]bool) {
	t := p.typeOf(body.TypeUrl)
	if old, ok := t.resources[name]; ok && proto.Equal(old.body, body) {
		return
	}
	if !touched[body.TypeUrl] {
		t.version++
	}
	touched[body.TypeUrl] = true
	t.resources[name] = resource{t.version, body}
}

// typeOf returns the resources of the type with the given URL, which it creates if needed. The caller holds p.mu.
func (p *Server) typeOf(url string) *resourceType {
	t := p.types[url]
	if t == nil {
		t = &resourceType{resources: map[string]resource{}}
		p.types[url] = t
	}
	return t
}

// RemoveResources removes resources of a type, raises the type's version and wakes up the streams.
func (p *Server) RemoveResources(url string, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.typeOf(url)
	for _, name := range names {
		delete(t.resources, name)
	}
	t.version++
	p.publish(map[string]bool{url: true})
}

// SetVersion sets the version of a type. It may be lower than the current one, as after a restore from a backup.
func (p *Server) SetVersion(url string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.typeOf(url).version = version
}

// publish wakes up all streams if touched is not empty. The caller holds p.mu.
func (p *Server) publish(touched map[string]bool) {
	if len(touched) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// Acks returns a copy of the recorded ACKs and NACKs.
func (p *Server) Acks() []Ack {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.acks)
}

// Streams returns the number of streams that were opened so far, and the number of those that are open.
func (p *Server) Streams() (opened, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, len(p.streams)
}

// InitialVersions returns, in order of arrival, the initial_resource_versions of the first request of each type on each
// stream of the incremental variant.
func (p *Server) InitialVersions() []map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.initial)
}
