// Package controlplane is a stand-in for a control plane that speaks Envoy's aggregated discovery service on loopback,
// in its state-of-the-world and its incremental variant. It serves the resources that it is given, records every ACK
// and NACK, and misbehaves on request. It follows "xDS REST and gRPC protocol" in Envoy's documentation, and shares no
// code with the client.
//
//   - controlplane.go: the server: its start and end, its resources, what it recorded
//   - stream.go: a client's stream, and what it subscribes to
//   - response.go: responses, and faults of them
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
	maxAcks         = 1 << 16 // that are recorded
	maxMessageBytes = 256 << 20
)

// Ack is an ACK or, with an Error, a NACK.
type Ack struct {
	URL, Nonce, Error string
	At                time.Time
}

// Server is a control plane. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	mu      sync.Mutex
	addr    string
	server  *grpc.Server // nil while it is down
	ended   chan struct{}
	types   map[string]*resourceType // by URL
	changed chan struct{}            // closed when resources change
	faults  []Fault                  // of the responses to come
	nonces  int                      // responses so far

	streams map[int]context.CancelCauseFunc // that are open, by number
	opened  int                             // streams so far
	acks    []Ack
	initial []map[string]string // initial_resource_versions of the streams' first requests of a type
}

// resourceType is the resources of one type.
type resourceType struct {
	version   int
	resources map[string]resource // by name
}

type resource struct {
	version int // of its type, when it was set
	body    *anypb.Any
}

// Start starts a control plane without resources on a free port of 127.0.0.1. Its error is the listener's.
func Start() (*Server, error) {
	p := &Server{
		addr:    "127.0.0.1:0",
		types:   map[string]*resourceType{},
		changed: make(chan struct{}),
		streams: map[int]context.CancelCauseFunc{},
	}
	return p, p.Up()
}

// Addr is where it listens, the same after Down and Up.
func (p *Server) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Up starts the control plane at its address. It does nothing if it runs. Its error is the listener's.
func (p *Server) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	p.addr = l.Addr().String()
	s, ended := grpc.NewServer(grpc.MaxSendMsgSize(maxMessageBytes)), make(chan struct{})
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, p)
	p.server, p.ended = s, ended
	go func() {
		defer close(ended)
		s.Serve(l) // it ends only by Down
	}()
	return nil
}

// Down ends the control plane at once: streams break, connections are refused.
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
		cancel(status.Error(codes.Unavailable, "broken on request"))
	}
}

// SetResources sets resources by name, and sends those that changed. Its error is the encoder's.
func (p *Server) SetResources(named map[string]proto.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(named)) {
		body, err := anypb.New(named[name])
		if err != nil {
			return err
		}
		p.put(name, body, touched)
	}
	p.publish(touched)
	return nil
}

// SetBody sets a resource to a body that may be invalid, and sends it.
func (p *Server) SetBody(name string, body *anypb.Any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := map[string]bool{}
	p.put(name, body, touched)
	p.publish(touched)
}

// put sets a resource, and adds its type to touched if it changed; p.mu is locked. All changes with one touched have
// one version of the type.
func (p *Server) put(name string, body *anypb.Any, touched map[string]bool) {
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

// typeOf returns the resources of a type; p.mu is locked.
func (p *Server) typeOf(url string) *resourceType {
	t := p.types[url]
	if t == nil {
		t = &resourceType{resources: map[string]resource{}}
		p.types[url] = t
	}
	return t
}

// RemoveResources removes resources of a type.
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

// SetVersion sets the version of a type, which may be an earlier one, as after a restore from a backup.
func (p *Server) SetVersion(url string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.typeOf(url).version = version
}

// publish wakes up all streams if types were touched; p.mu is locked.
func (p *Server) publish(touched map[string]bool) {
	if len(touched) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// Acks returns the ACKs and NACKs so far.
func (p *Server) Acks() []Ack {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.acks)
}

// Streams returns how many streams were opened so far, and how many are open.
func (p *Server) Streams() (opened, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, len(p.streams)
}

// InitialVersions returns the initial_resource_versions of the streams' first requests of a type, in their order, of
// the incremental variant.
func (p *Server) InitialVersions() []map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.initial)
}
