// Package xds follows control planes that speak Envoy's aggregated discovery service. The
// protocol is package ads's matter, what resources mean is translate's and what follows
// from them is state's; this package has the sockets and the file, and decides nothing.
package xds

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// Config says which control planes are followed, and how.
type Config struct {
	Servers    []string // host:port, in order of preference; 1 or more
	Variant    ads.Variant
	NodeID     string // node.id, by which the control plane knows this program
	NodeGroup  string // node.cluster
	Zone       string // node.locality.zone
	State      state.Options
	Translate  translate.Options
	Backoff    ads.Backoff
	Missing    time.Duration // ads.Options.Missing
	Answer     time.Duration // a control plane that says nothing for so long after a stream's start is left
	MaxMessage int           // bytes of one message
	Keep       string        // file for the last good version; "": none
}

// The figures that hold where a Config says nothing.
const (
	DefaultMaxMessage = 64 << 20
	defaultAnswer     = 10 * time.Second
	saveEvery         = time.Second
	sendQueue         = 64 // requests that a control plane has not read; with one more the stream ends
	dialTimeout       = 5 * time.Second
)

// Delivery is news from a control plane.
type Delivery struct {
	At       time.Time          // when its last byte came
	Clusters []*cluster.Cluster // new versions of clusters that were there before
	Whole    bool               // View differs in more than those
	View     *state.State       // valid during the call only
}

// Client follows control planes. Create it with New, and call Run once.
type Client struct {
	config  Config
	log     *slog.Logger
	machine *ads.Machine
	state   *state.State
	planes  *ads.Planes
	zero    time.Time
	take    func(*Delivery)
	keep    *keeper
	node    *corev3.Node
	out     chan ads.Request // of the present stream
}

// New makes a client. With Config.Keep, Run has to be called: it ends what writes the file.
func New(c Config, log *slog.Logger) *Client {
	if c.MaxMessage == 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	if c.Answer == 0 {
		c.Answer = defaultAnswer
	}
	if c.Backoff == (ads.Backoff{}) {
		c.Backoff = ads.Backoff{Base: 500 * time.Millisecond, Max: 30 * time.Second, Prefer: time.Minute}
	}
	x := &Client{
		config: c, log: log, state: state.New(c.State), planes: ads.NewPlanes(len(c.Servers), c.Backoff), zero: time.Now(),
		machine: ads.New(ads.Options{
			Variant: c.Variant, Wildcard: c.State.Wildcard(), Missing: c.Missing, Decode: c.Translate.Decode,
		}),
		node: &corev3.Node{
			Id: c.NodeID, Cluster: c.NodeGroup, UserAgentName: "yokestall",
			Locality: &corev3.Locality{Zone: c.Zone},
		},
	}
	if c.Keep != "" {
		x.keep = newKeeper(c.Keep, log)
	}
	return x
}

func (x *Client) now() time.Duration { return time.Since(x.zero) }

// Restore reads the last good version from its file and gives it to take; false if there
// is none.
func (x *Client) Restore(take func(*Delivery)) bool {
	if x.keep == nil {
		return false
	}
	kept, err := x.keep.load()
	if err != nil {
		x.log.Warn("cached control plane version unusable", "file", x.config.Keep, "err", err)
		return false
	}
	if kept == nil {
		return false
	}
	// In the order in which they refer to one another, so that each finds who wants it.
	for _, t := range []ads.Type{ads.Listener, ads.Route, ads.Cluster, ads.Endpoint} {
		u := &ads.Update{Type: t}
		versions := map[string]string{}
		for name, r := range kept.resources[t] {
			_, value, err := x.config.Translate.Decode(t, r.Body)
			if err != nil { // it was good for another version of this program or its file
				x.log.Warn("cached resource ignored", "type", t, "name", name, "err", err)
				continue
			}
			u.Set = append(u.Set, ads.Set{Name: name, Version: r.Version, Value: value})
			versions[name] = r.Version
		}
		x.state.Apply(kept.at, u)
		x.machine.Restore(t, kept.versions[t], versions)
	}
	x.subscribe()
	x.log.Info("starting from the cached control plane version", "file", x.config.Keep, "age", time.Since(kept.at).Round(time.Second))
	take(&Delivery{At: time.Now(), Whole: true, View: x.state})
	return true
}

// Run follows the control planes until ctx ends, and calls take with what they deliver.
func (x *Client) Run(ctx context.Context, take func(*Delivery)) {
	x.take = take
	x.subscribe()
	if x.keep != nil {
		defer x.keep.close(x.machine)
	}
	for ctx.Err() == nil {
		at := x.planes.At()
		err := x.follow(ctx, x.config.Servers[at])
		x.machine.Closed()
		if x.keep != nil {
			x.keep.saved = time.Time{} // what there is now may have to do for long
			x.keep.save(x.machine)
		}
		if ctx.Err() != nil {
			return
		}
		wait := time.Duration(0)
		if err == nil { // left for one of higher preference
			x.log.Info("probing a preferred control plane", "addr", x.config.Servers[x.planes.At()])
		} else {
			wait = x.planes.Failed(x.now(), rand.Float64())
			x.log.Warn("control plane disconnected, keeping its last configuration",
				"addr", x.config.Servers[at], "err", err, "next", x.config.Servers[x.planes.At()], "wait", wait.Round(time.Millisecond))
		}
		x.pause(ctx, wait)
	}
}

// pause waits; what was not there when the stream ended may be told of meanwhile.
func (x *Client) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// message is what was read from the stream: its bytes as they came.
type message struct {
	bytes []byte
	at    time.Time
	err   error
}

// raw hands gRPC's messages through as bytes: when they came is known before anybody
// spends time on reading them, and one that is no message does not end the stream.
type raw struct{}

func (raw) Name() string { return "proto" }

func (raw) Marshal(v any) (mem.BufferSlice, error) {
	b, err := proto.Marshal(v.(proto.Message))
	return mem.BufferSlice{mem.SliceBuffer(b)}, err
}

func (raw) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

var _ encoding.CodecV2 = raw{}

// follow keeps a stream to a control plane until it breaks, stays silent, or is left for
// another (nil).
func (x *Client) follow(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(raw{}), grpc.MaxCallRecvMsgSize(x.config.MaxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.WithReadBufferSize(16<<10), grpc.WithWriteBufferSize(16<<10),
	)
	if err != nil {
		return err
	}
	defer conn.Close()
	method := discoveryv3.AggregatedDiscoveryService_StreamAggregatedResources_FullMethodName
	if x.config.Variant == ads.Incremental {
		method = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResources_FullMethodName
	}
	giveUp := time.AfterFunc(dialTimeout, cancel)
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, method)
	if !giveUp.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	x.planes.Opened(x.now())
	in := make(chan message)
	x.out = make(chan ads.Request, sendQueue)
	broken := make(chan error, 1)
	ended := make(chan struct{}, 2)
	go func() {
		defer func() { ended <- struct{}{} }()
		for {
			var b []byte
			err := stream.RecvMsg(&b)
			select {
			case in <- message{b, time.Now(), err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		defer func() { ended <- struct{}{} }()
		first := true
		for {
			select {
			case r := <-x.out:
				if err := stream.SendMsg(x.wire(&r, first)); err != nil {
					broken <- err // the reader has the cause
					return
				}
				first = false
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() {
		cancel()
		<-ended
		<-ended
	}()
	if err := x.send(x.machine.Opened(x.now(), addr)); err != nil {
		return err
	}
	x.log.Info("control plane connected", "addr", addr)
	return x.loop(ctx, in)
}

func (x *Client) loop(ctx context.Context, in <-chan message) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(max(0, x.due()-x.now()))
		if x.keep != nil {
			x.keep.save(x.machine)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-in:
			if m.err != nil {
				return m.err
			}
			if err := x.receive(m); err != nil {
				return err
			}
		case <-timer.C:
			now := x.now()
			for _, u := range x.machine.Tick(now) {
				x.log.Warn("control plane lacks requested resources", "type", u.Type, "count", len(u.Missing), "names", u.Missing[:min(len(u.Missing), 10)])
				if err := x.apply(time.Now(), &u); err != nil {
					return err
				}
			}
			if heard, since := x.machine.Heard(); !heard && now-since >= x.config.Answer {
				return fmt.Errorf("silent for %v", x.config.Answer)
			}
			if x.planes.Return(now) {
				return nil
			}
		}
	}
}

// due is when the loop has something to look at, whatever comes.
func (x *Client) due() time.Duration {
	due := x.now() + time.Second
	if at, ok := x.machine.Next(); ok {
		due = min(due, at)
	}
	if heard, since := x.machine.Heard(); !heard {
		due = min(due, since+x.config.Answer)
	}
	return due
}

func (x *Client) receive(m message) error {
	r, err := x.parse(m.bytes)
	if err != nil {
		return err
	}
	u, owed, problem := x.machine.Receive(x.now(), r)
	if problem != nil {
		x.log.Warn("control plane response ignored", "cause", problem)
		return nil
	}
	x.planes.Answered()
	for _, o := range owed {
		if o.Error != "" {
			x.log.Error("control plane response partly rejected, keeping former resources", "type", o.Type, "version", r.Version, "cause", o.Error)
		}
	}
	if x.keep != nil {
		x.keep.note(&u)
	}
	// The engines are told before anything else: drains count from delivery.
	if !u.Empty() {
		if err := x.apply(m.at, &u); err != nil {
			return err
		}
	}
	return x.send(owed)
}

func (x *Client) apply(at time.Time, u *ads.Update) error {
	change := x.state.Apply(at, u)
	if change.Whole || len(change.Clusters) > 0 {
		x.take(&Delivery{At: at, Clusters: change.Clusters, Whole: change.Whole, View: x.state})
	}
	if u.Type == ads.Cluster {
		if p := x.state.Pending(); len(p) > 0 {
			x.log.Info("clusters have no endpoints yet, rejecting their requests", "count", len(p), "names", p[:min(len(p), 10)])
		}
	}
	if !change.Wanted {
		return nil
	}
	return x.subscribe()
}

// subscribe asks for what the present state leads to.
func (x *Client) subscribe() error {
	for t := range ads.Types {
		out, over := x.machine.Subscribe(x.now(), t, x.state.Wanted(t))
		if len(over) > 0 {
			x.log.Error("resource limit exceeded", "type", t, "over", len(over), "first", over[0])
		}
		if err := x.send(out); err != nil {
			return err
		}
	}
	return nil
}

func (x *Client) send(list []ads.Request) error {
	for _, r := range list {
		select {
		case x.out <- r:
		default:
			return fmt.Errorf("the control plane reads nothing: %d requests wait", sendQueue)
		}
	}
	return nil
}

// parse reads a message of the variant.
func (x *Client) parse(b []byte) (*ads.Response, error) {
	out := &ads.Response{}
	if x.config.Variant == ads.Incremental {
		var m discoveryv3.DeltaDiscoveryResponse
		if err := proto.Unmarshal(b, &m); err != nil {
			return nil, fmt.Errorf("no DeltaDiscoveryResponse: %w", err)
		}
		out.URL, out.Version, out.Nonce, out.Removed = m.GetTypeUrl(), m.GetSystemVersionInfo(), m.GetNonce(), m.GetRemovedResources()
		for _, r := range m.GetResources() {
			out.Resources = append(out.Resources, ads.Resource{Name: r.GetName(), Version: r.GetVersion(), Body: r.GetResource()})
		}
		return out, nil
	}
	var m discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("no DiscoveryResponse: %w", err)
	}
	out.URL, out.Version, out.Nonce = m.GetTypeUrl(), m.GetVersionInfo(), m.GetNonce()
	for _, a := range m.GetResources() {
		out.Resources = append(out.Resources, ads.Resource{Body: a})
	}
	return out, nil
}

// wire makes the message of a request; the first one of a stream says who asks.
func (x *Client) wire(r *ads.Request, first bool) proto.Message {
	var node *corev3.Node
	if first {
		node = x.node
	}
	var fault *status.Status
	if r.Error != "" {
		fault = &status.Status{Code: int32(codes.InvalidArgument), Message: r.Error}
	}
	if x.config.Variant == ads.Incremental {
		return &discoveryv3.DeltaDiscoveryRequest{
			Node: node, TypeUrl: r.Type.URL(), ResponseNonce: r.Nonce, ErrorDetail: fault,
			ResourceNamesSubscribe: r.Subscribe, ResourceNamesUnsubscribe: r.Unsubscribe,
			InitialResourceVersions: maps.Clone(r.Initial),
		}
	}
	return &discoveryv3.DiscoveryRequest{
		Node: node, TypeUrl: r.Type.URL(), ResponseNonce: r.Nonce, ErrorDetail: fault,
		VersionInfo: r.Version, ResourceNames: r.Names,
	}
}
