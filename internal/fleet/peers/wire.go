package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/agree"
)

// What nodes say to each other. It travels over gRPC: raft's messages as their library writes them, content as it is, the rest as
// JSON, each in a google.protobuf.BytesValue.

const (
	service    = "yokestall.fleet.v1.Fleet"
	fleetKey   = "yokestall-fleet" // the name of the fleet that a call is for
	maxMessage = 4 << 20           // bytes of a message: a whole history fits
	chunkSize  = 256 << 10         // bytes of content in a message
	maxReason  = 4 << 10           // bytes of a node's reason
)

// DescribeRequest asks for a version.
type DescribeRequest struct {
	Number       uint64 `json:"number"`
	OwnPartsOnly bool   `json:"short"` // what it adds to its base is enough
}

// FetchRequest asks for content from a place on.
type FetchRequest struct {
	Hash   string `json:"hash"`
	Offset int    `json:"from"`
}

// LeaseReply is a voter's answer to an ask, or news without one.
type LeaseReply struct {
	Grant     *agree.Grant     `json:"grant,omitempty"`
	LogStatus *agree.LogStatus `json:"news,omitempty"`
	Error     string           `json:"error,omitempty"`
}

// PublishRequest asks for a version. Its content has been put to voters before.
type PublishRequest struct {
	ID    string       `json:"id"`
	Base  uint64       `json:"base"`
	Parts []agree.Part `json:"parts"`
	// Extends says that the parts are beside all those of the base.
	Extends bool `json:"extends,omitempty"`
}

// PublishReply says what became of it.
type PublishReply struct {
	Number        uint64   `json:"number"` // 0: it was not taken up
	Contradicts   bool     `json:"contradicts"`
	Error         string   `json:"error,omitempty"`
	Retry         bool     `json:"again"`             // another try may succeed as it is
	ActiveVersion uint64   `json:"present"`           // the version in force
	Differences   []string `json:"differs,omitempty"` // from the version in force
}

// ContentHashes asks which of these hashes are not there.
type ContentHashes struct {
	Hashes []string `json:"hashes"`
}

// Status is how a node sees the fleet.
type Status struct {
	Node         string            `json:"node"`
	Fleet        string            `json:"fleet"`
	Voter        bool              `json:"voter"`
	Leader       string            `json:"leader,omitempty"` // "": none is known here
	Term         uint64            `json:"term,omitempty"`
	LogStatus    agree.LogStatus   `json:"facts"`
	Applied      agree.ActiveRules `json:"acts"`
	Disconnected bool              `json:"alone"`
	LeaseLeftMs  int64             `json:"left_ms"` // of its lease
	WaitingFor   []string          `json:"waits,omitempty"`
	LeaseHolders []string          `json:"nodes,omitempty"` // that this voter has granted leases
	History      []agree.Manifest  `json:"history,omitempty"`
	VotingError  string            `json:"store,omitempty"` // what is wrong with it
	Tasks        []TaskStatus      `json:"owners,omitempty"`
}

func pack(v any) (*wrapperspb.BytesValue, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return wrapperspb.Bytes(data), nil
}

func unpack(in *wrapperspb.BytesValue, to any) error {
	if err := json.Unmarshal(in.GetValue(), to); err != nil {
		return status.Errorf(codes.InvalidArgument, "a message that can't be read: %v", err)
	}
	return nil
}

// checkFleet turns away who speaks for another fleet, before anything else that it sent is read.
func (n *Node) checkFleet(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	if got := md.Get(fleetKey); len(got) != 1 || got[0] != n.Fleet {
		return status.Errorf(codes.PermissionDenied, "this is a node of the fleet %q", n.Fleet)
	}
	return nil
}

// unaryMethod makes a unary method of a function.
func unaryMethod[In, Out any](name string, do func(n *Node, ctx context.Context, in *In) (*Out, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		n := srv.(*Node)
		if err := n.checkFleet(ctx); err != nil {
			return nil, err
		}
		raw := &wrapperspb.BytesValue{}
		if err := decode(raw); err != nil {
			return nil, err
		}
		in := new(In)
		if err := unpack(raw, in); err != nil {
			return nil, err
		}
		out, err := do(n, ctx, in)
		if err != nil {
			return nil, err
		}
		if data, ok := any(out).(*rawBytes); ok {
			return wrapperspb.Bytes(*data), nil
		}
		return pack(out)
	}}
}

// streamMethod makes a streaming method.
func streamMethod(name string, up, down bool, do func(n *Node, s grpc.ServerStream) error) grpc.StreamDesc {
	return grpc.StreamDesc{StreamName: name, ClientStreams: up, ServerStreams: down, Handler: func(srv any, s grpc.ServerStream) error {
		n := srv.(*Node)
		if err := n.checkFleet(s.Context()); err != nil {
			return err
		}
		return do(n, s)
	}}
}

func serviceDescription() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: service, HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod("Describe", (*Node).serveDescribe), unaryMethod("Fetch", (*Node).serveFetch), unaryMethod("Have", (*Node).serveMissing),
			unaryMethod("Publish", (*Node).servePublish), unaryMethod("Refuse", (*Node).serveRefusal), unaryMethod("Status", (*Node).serveStatus), unaryMethod("Owns", (*Node).serveOwnership), unaryMethod("Hello", (*Node).serveHello), unaryMethod("Release", (*Node).serveReleaseCommand),
		},
		Streams: []grpc.StreamDesc{
			streamMethod("Carry", true, false, (*Node).serveRaftMessages), streamMethod("Attend", true, true, (*Node).serveLeases), streamMethod("Put", true, false, (*Node).servePut),
		},
	}
}

// Conn is a connection to a node.
type Conn struct {
	*grpc.ClientConn
	fleet string
}

func (c *Conn) context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, fleetKey, c.fleet)
}

// call calls a unary method.
func call[Out any](ctx context.Context, c *Conn, name string, in any) (*Out, error) {
	raw, err := pack(in)
	if err != nil {
		return nil, err
	}
	back := &wrapperspb.BytesValue{}
	if err := c.Invoke(c.context(ctx), "/"+service+"/"+name, raw, back); err != nil {
		return nil, err
	}
	out := new(Out)
	return out, json.Unmarshal(back.GetValue(), out)
}

// Describe asks for a version's manifest.
func (c *Conn) Describe(ctx context.Context, number uint64) (*agree.Manifest, error) {
	return call[agree.Manifest](ctx, c, "Describe", DescribeRequest{Number: number})
}

// Status asks how the node sees the fleet.
func (c *Conn) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, "Status", struct{}{})
}

// Publish asks for a version to be taken up.
func (c *Conn) Publish(ctx context.Context, p PublishRequest) (*PublishReply, error) {
	return call[PublishReply](ctx, c, "Publish", p)
}

// Fetch gets content whole, and checks it.
func (c *Conn) Fetch(ctx context.Context, part agree.Part) ([]byte, error) {
	var data []byte
	for len(data) < part.Size {
		out := &wrapperspb.BytesValue{}
		raw, err := pack(FetchRequest{part.Hash, len(data)})
		if err != nil {
			return nil, err
		}
		if err := c.Invoke(c.context(ctx), "/"+service+"/Fetch", raw, out); err != nil {
			return nil, err
		}
		if len(out.GetValue()) == 0 {
			return nil, fmt.Errorf("%s: %d bytes of %d", part.Name, len(data), part.Size)
		}
		data = append(data, out.GetValue()...)
	}
	if hash(data) != part.Hash {
		return nil, fmt.Errorf("%s: its hash doesn't fit", part.Name)
	}
	return data, nil
}

// Put has the node keep what of the content it hasn't, for good when the error is nil.
func (c *Conn) Put(ctx context.Context, content map[string][]byte) error {
	var all ContentHashes
	for h := range content {
		all.Hashes = append(all.Hashes, h)
	}
	missing, err := call[ContentHashes](ctx, c, "Have", all)
	if err != nil {
		return err
	}
	for _, h := range missing.Hashes {
		data, ok := content[h]
		if !ok {
			return errors.New("the node wants what was not offered")
		}
		s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, "/"+service+"/Put")
		if err != nil {
			return err
		}
		for at := 0; at < len(data) || at == 0; at += chunkSize {
			if err := s.SendMsg(wrapperspb.Bytes(data[at:min(len(data), at+chunkSize)])); err != nil {
				break // RecvMsg says why
			}
		}
		if err := s.CloseSend(); err != nil {
			return err
		}
		if err := s.RecvMsg(&wrapperspb.BytesValue{}); err != nil {
			return err
		}
	}
	return nil
}
