// Package controlplane is a stand-in for a control plane that speaks Envoy's aggregated
// discovery service, in both variants, on loopback. It serves the resources that it is
// told, notes every ACK and NACK, and misbehaves on request. It follows "xDS REST and
// gRPC protocol" in Envoy's documentation, and shares no code with the client.
package controlplane

import (
	"context"
	"errors"
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

// maxAnswers is how many ACKs and NACKs a plane keeps.
const maxAnswers = 1 << 16

// Ack is an ACK or a NACK.
type Ack struct {
	URL, Nonce, Error string
	At                time.Time
}

// Fault is a way to misbehave in one response.
type Fault int

// The ways to misbehave.
const (
	None               Fault = iota
	WrongNonce               // the nonce of an earlier response
	NoNonce                  // ""
	Reset                    // the stream breaks in place of the response
	StopSending              // nothing is sent any more on this stream
	DuplicateResources       // each resource stands there twice
	WrongType                // the URL of another type
	OmitHalf                 // every second resource is left out (incremental: as if the rest came later)
	InvalidBodies            // bodies that are no message
)

// Server is a control plane. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	addr string

	mu      sync.Mutex
	server  *grpc.Server // nil while it is down
	ended   chan struct{}
	types   map[string]*kind
	changed chan struct{} // closed at the next change
	answers []Ack
	faults  []Fault // for the responses to come
	streams map[int]context.CancelCauseFunc
	opened  int
	nonces  int
	initial []map[string]string // initial_resource_versions as they came, by stream
	first   []string            // version_info of each stream's first request of a type
}

// kind is the resources of a type.
type kind struct {
	version   int
	resources map[string]resource
}

type resource struct {
	version int
	body    *anypb.Any
}

// Start starts a plane with no resources on a free port of 127.0.0.1.
func Start() (*Server, error) {
	p := &Server{
		addr: "127.0.0.1:0", types: map[string]*kind{}, changed: make(chan struct{}),
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

// Up starts the plane, or starts it again at its address.
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
	s, ended := grpc.NewServer(grpc.MaxSendMsgSize(256<<20)), make(chan struct{})
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, p)
	p.server, p.ended = s, ended
	go func() {
		defer close(ended)
		s.Serve(l) // it ends by Down alone
	}()
	return nil
}

// Down ends the plane at once: streams break, connections are refused.
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

// BreakStreams ends all streams; the plane goes on.
func (p *Server) BreakStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cancel := range p.streams {
		cancel(status.Error(codes.Unavailable, "broken on request"))
	}
}

// SetResources puts resources in place, each under its name, and sends what changed.
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

// SetBody is Set for bodies that may be no message at all.
func (p *Server) SetBody(name string, body *anypb.Any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := map[string]bool{}
	p.put(name, body, touched)
	p.publish(touched)
}

// put keeps a resource; p.mu is held.
func (p *Server) put(name string, body *anypb.Any, touched map[string]bool) {
	k := p.kind(body.TypeUrl)
	if old, ok := k.resources[name]; ok && proto.Equal(old.body, body) {
		return
	}
	if !touched[body.TypeUrl] {
		k.version++
	}
	touched[body.TypeUrl] = true
	k.resources[name] = resource{k.version, body}
}

func (p *Server) kind(url string) *kind {
	k := p.types[url]
	if k == nil {
		k = &kind{resources: map[string]resource{}}
		p.types[url] = k
	}
	return k
}

// RemoveResources takes resources of a type away.
func (p *Server) RemoveResources(url string, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(url)
	for _, name := range names {
		delete(k.resources, name)
	}
	k.version++
	p.publish(map[string]bool{url: true})
}

// SetVersion sets a type's version back, as a plane does that was restored from a backup.
func (p *Server) SetVersion(url string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind(url).version = version
}

func (p *Server) publish(touched map[string]bool) {
	if len(touched) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

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

// Acks gives the ACKs and NACKs so far.
func (p *Server) Acks() []Ack {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.answers)
}

// Streams is how many streams were opened so far, and how many are open.
func (p *Server) Streams() (opened, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, len(p.streams)
}

// InitialVersions gives the initial_resource_versions that came with streams' first requests of a
// type, in order (incremental).
func (p *Server) InitialVersions() []map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.initial)
}

var errSilent = errors.New("silent on request")

// want is what a request says, in either variant.
type want struct {
	url, nonce, fault, version string
	names                      []string // state of the world: all that are wanted
	more, fewer                []string // incremental
	initial                    map[string]string
	answers                    bool // it has an ACK's or a NACK's place
}

// watch is what a stream knows of a type.
type watch struct {
	names map[string]bool
	all   bool
	nonce string
	sent  map[string]int // versions of resources, by name
	last  int            // version of the type sent last; -1: none
}

// StreamAggregatedResources implements the state-of-the-world variant.
func (p *Server) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return p.serve(s.Context(), false, func() (*want, error) {
		r, err := s.Recv()
		if err != nil {
			return nil, err
		}
		return &want{
			url: r.GetTypeUrl(), nonce: r.GetResponseNonce(), fault: r.GetErrorDetail().GetMessage(), version: r.GetVersionInfo(),
			names: r.GetResourceNames(), answers: r.GetResponseNonce() != "",
		}, nil
	}, func(m proto.Message) error { return s.SendMsg(m) })
}

// DeltaAggregatedResources implements the incremental variant.
func (p *Server) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return p.serve(s.Context(), true, func() (*want, error) {
		r, err := s.Recv()
		if err != nil {
			return nil, err
		}
		return &want{
			url: r.GetTypeUrl(), nonce: r.GetResponseNonce(), fault: r.GetErrorDetail().GetMessage(),
			more: r.GetResourceNamesSubscribe(), fewer: r.GetResourceNamesUnsubscribe(), initial: r.GetInitialResourceVersions(),
			answers: r.GetResponseNonce() != "",
		}, nil
	}, func(m proto.Message) error { return s.SendMsg(m) })
}

func (p *Server) serve(ctx context.Context, delta bool, recv func() (*want, error), send func(proto.Message) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.mu.Lock()
	p.opened++
	id := p.opened
	p.streams[id] = cancel
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.streams, id)
		p.mu.Unlock()
	}()
	requests := make(chan *want)
	go func() {
		for {
			w, err := recv()
			if err != nil {
				cancel(err)
				return
			}
			select {
			case requests <- w:
			case <-ctx.Done():
				return
			}
		}
	}()
	watches := map[string]*watch{}
	silent := false
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		for _, url := range slices.Sorted(maps.Keys(watches)) {
			if silent {
				break
			}
			m, err := p.response(url, watches[url], delta)
			if errors.Is(err, errSilent) {
				silent = true
				break
			}
			if err != nil {
				return err
			}
			if m != nil {
				if err := send(m); err != nil {
					return err
				}
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case w := <-requests:
			p.request(w, watches, delta)
		}
	}
}

// request takes a request into what a stream knows.
func (p *Server) request(w *want, watches map[string]*watch, delta bool) {
	x := watches[w.url]
	if x == nil {
		x = &watch{names: map[string]bool{}, sent: map[string]int{}, last: -1}
		watches[w.url] = x
		x.all = !delta && len(w.names) == 0
		p.mu.Lock()
		if delta {
			p.initial = append(p.initial, w.initial)
		}
		p.first = append(p.first, w.version)
		k := p.kind(w.url)
		for name, version := range w.initial {
			n := 0
			fmt.Sscanf(version, "%d", &n)
			x.sent[name] = n
		}
		if !delta && w.version != "" {
			n := -1
			fmt.Sscanf(w.version, "%d", &n)
			// What the client says that it has, it has, if its version is the present one.
			if n == k.version {
				x.last = n
				for name, r := range k.resources {
					x.sent[name] = r.version
				}
			}
		}
		p.mu.Unlock()
	} else if w.answers {
		if w.nonce != x.nonce { // stale: another one crosses it
			return
		}
		p.mu.Lock()
		if len(p.answers) < maxAnswers {
			p.answers = append(p.answers, Ack{w.url, w.nonce, w.fault, time.Now()})
		}
		p.mu.Unlock()
	}
	if !delta {
		names := map[string]bool{}
		for _, n := range w.names {
			names[n] = true
		}
		for n := range x.sent {
			if !x.all && !names[n] {
				delete(x.sent, n)
			}
		}
		x.names = names
		return
	}
	for _, n := range w.more {
		if n == "*" {
			x.all = true
			continue
		}
		x.names[n] = true
	}
	for _, n := range w.fewer {
		delete(x.names, n)
		delete(x.sent, n)
	}
}

// complete types name all their resources in a state-of-the-world response.
func complete(url string) bool {
	return url == "type.googleapis.com/envoy.config.cluster.v3.Cluster" || url == "type.googleapis.com/envoy.config.listener.v3.Listener"
}

// response makes what is due for a type; nil if nothing is.
func (p *Server) response(url string, x *watch, delta bool) (proto.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(url)
	var changed, removed []string
	for _, name := range slices.Sorted(maps.Keys(k.resources)) {
		if (x.all || x.names[name]) && x.sent[name] != k.resources[name].version {
			changed = append(changed, name)
		}
	}
	for name := range x.sent {
		if _, there := k.resources[name]; !there {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	due := len(changed)+len(removed) > 0
	if !delta && x.last < 0 && complete(url) {
		due = true // an empty answer is one too
	}
	if !due {
		return nil, nil
	}
	fault := None
	if len(p.faults) > 0 {
		fault, p.faults = p.faults[0], p.faults[1:]
	}
	switch fault {
	case StopSending:
		return nil, errSilent
	case Reset:
		return nil, status.Error(codes.Unavailable, "reset on request")
	}
	if !delta && complete(url) {
		changed = changed[:0]
		for _, name := range slices.Sorted(maps.Keys(k.resources)) {
			if x.all || x.names[name] {
				changed = append(changed, name)
			}
		}
	}
	if fault == OmitHalf {
		for i := 0; i < len(changed); i++ {
			changed = slices.Delete(changed, i, i+1)
		}
	}
	p.nonces++
	nonce, last := fmt.Sprintf("n%d", p.nonces), x.nonce
	for _, name := range removed {
		delete(x.sent, name)
	}
	for _, name := range changed {
		x.sent[name] = k.resources[name].version
	}
	x.nonce, x.last = nonce, k.version
	switch fault {
	case WrongNonce:
		x.nonce = last
		nonce = last
	case NoNonce:
		x.nonce, nonce = "", ""
	case WrongType:
		url = "type.googleapis.com/envoy.config.core.v3.Node"
	}
	var list []*discoveryv3.Resource
	for _, name := range changed {
		r := k.resources[name]
		body := r.body
		if fault == InvalidBodies {
			body = &anypb.Any{TypeUrl: body.TypeUrl, Value: []byte("\xff\xfe no message")}
		}
		list = append(list, &discoveryv3.Resource{Name: name, Version: fmt.Sprint(r.version), Resource: body})
		if fault == DuplicateResources {
			list = append(list, list[len(list)-1])
		}
	}
	if delta {
		return &discoveryv3.DeltaDiscoveryResponse{
			TypeUrl: url, Nonce: nonce, SystemVersionInfo: fmt.Sprint(k.version), Resources: list, RemovedResources: removed,
		}, nil
	}
	m := &discoveryv3.DiscoveryResponse{TypeUrl: url, Nonce: nonce, VersionInfo: fmt.Sprint(k.version)}
	for _, r := range list {
		m.Resources = append(m.Resources, r.Resource)
	}
	return m, nil
}
