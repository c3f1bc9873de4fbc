package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

// The nodes of a fleet talk over gRPC. Every message is a google.protobuf.BytesValue: of a raft message as the raft
// library encodes it, of content as it is, or of JSON. The names of methods and of JSON fields are fixed, since nodes
// of several versions run side by side.

const (
	service    = "yokestall.fleet.v1.Fleet"
	fleetKey   = "yokestall-fleet" // metadata: the name of the fleet that a call is for
	maxMessage = 4 << 20           // bytes of a message, enough for the whole history
	chunkSize  = 256 << 10         // bytes of content in a message
	maxReason  = 4 << 10           // bytes of a node's reason for a refusal
)

// The names of the service's methods.
const (
	methodDescribe     = "Describe"
	methodFetch        = "Fetch"
	methodMissing      = "Have"
	methodPublish      = "Publish"
	methodRefuse       = "Refuse"
	methodStatus       = "Status"
	methodOwnership    = "Owns"
	methodHello        = "Hello"
	methodRelease      = "Release"
	streamRaftMessages = "Carry"
	streamLeases       = "Attend"
	streamPut          = "Put"
)

// DescribeRequest asks for a version's manifest.
type DescribeRequest struct {
	Number       uint64 `json:"number"`
	OwnPartsOnly bool   `json:"short"` // without the parts of the base
}

// FetchRequest asks for a chunk of content.
type FetchRequest struct {
	Hash   string `json:"hash"`
	Offset int    `json:"from"`
}

// LeaseReply is a voter's reply to a lease request, or news of the log without a request.
type LeaseReply struct {
	Grant     *consensus.Grant     `json:"grant,omitempty"`
	LogStatus *consensus.LogStatus `json:"news,omitempty"`
	Error     string               `json:"error,omitempty"`
}

// PublishRequest asks a voter to publish a version whose content is stored by a majority of the voters.
type PublishRequest struct {
	ID    string           `json:"id"`
	Base  uint64           `json:"base"`
	Parts []consensus.Part `json:"parts"`
	// Extends says that the version consists of the base's parts, followed by Parts.
	Extends bool `json:"extends,omitempty"`
}

// PublishReply is the result of a PublishRequest.
type PublishReply struct {
	Number        uint64   `json:"number"` // 0: the version was not published
	Contradicts   bool     `json:"contradicts"`
	Error         string   `json:"error,omitempty"`
	Retry         bool     `json:"again"` // the same request may succeed later
	ActiveVersion uint64   `json:"present"`
	Differences   []string `json:"differs,omitempty"` // from the active version
}

// ContentHashes names content. It asks which of it a node doesn't have, and is the reply to that.
type ContentHashes struct {
	Hashes []string `json:"hashes"`
}

// Status is a node's view of the fleet.
type Status struct {
	Node         string                `json:"node"`
	Fleet        string                `json:"fleet"`
	Voter        bool                  `json:"voter"`
	Leader       string                `json:"leader,omitempty"` // "": the node knows of none
	Term         uint64                `json:"term,omitempty"`
	LogStatus    consensus.LogStatus   `json:"facts"`
	Applied      consensus.ActiveRules `json:"acts"` // what the node acts on
	Disconnected bool                  `json:"alone"`
	LeaseLeftMs  int64                 `json:"left_ms"`         // milliseconds left of the node's own lease
	WaitingFor   []string              `json:"waits,omitempty"` // nodes that keep this voter from acknowledging the pending version
	LeaseHolders []string              `json:"nodes,omitempty"` // nodes that hold a lease of this voter
	History      []consensus.Manifest  `json:"history,omitempty"`
	VotingError  string                `json:"store,omitempty"` // why the node no longer votes
	Tasks        []TaskStatus          `json:"owners,omitempty"`
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

// checkFleet refuses a call that is for another fleet, before its message is decoded.
func (n *Node) checkFleet(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	if got := md.Get(fleetKey); len(got) != 1 || got[0] != n.Fleet {
		return status.Errorf(codes.PermissionDenied, "this is a node of the fleet %q", n.Fleet)
	}
	return nil
}

// unaryMethod describes a method of one request and one reply.
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

// streamMethod describes a streaming method; up and down say which side sends several messages.
func streamMethod(name string, up, down bool, do func(n *Node, s grpc.ServerStream) error) grpc.StreamDesc {
	return grpc.StreamDesc{StreamName: name, ClientStreams: up, ServerStreams: down, Handler: func(srv any, s grpc.ServerStream) error {
		n := srv.(*Node)
		if err := n.checkFleet(s.Context()); err != nil {
			return err
		}
		return do(n, s)
	}}
}

// serviceDescription describes the gRPC service that a node serves.
func serviceDescription() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: service, HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod(methodDescribe, (*Node).serveDescribe),
			unaryMethod(methodFetch, (*Node).serveFetch),
			unaryMethod(methodMissing, (*Node).serveMissing),
			unaryMethod(methodPublish, (*Node).servePublish),
			unaryMethod(methodRefuse, (*Node).serveRefusal),
			unaryMethod(methodStatus, (*Node).serveStatus),
			unaryMethod(methodOwnership, (*Node).serveOwnership),
			unaryMethod(methodHello, (*Node).serveHello),
			unaryMethod(methodRelease, (*Node).serveReleaseCommand),
		},
		Streams: []grpc.StreamDesc{
			streamMethod(streamRaftMessages, true, false, (*Node).serveRaftMessages),
			streamMethod(streamLeases, true, true, (*Node).serveLeases),
			streamMethod(streamPut, true, false, (*Node).servePut),
		},
	}
}

// methodPath is the path of a method in gRPC calls.
func methodPath(name string) string { return "/" + service + "/" + name }

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
	if err := c.Invoke(c.context(ctx), methodPath(name), raw, back); err != nil {
		return nil, err
	}
	out := new(Out)
	return out, json.Unmarshal(back.GetValue(), out)
}

// firstAnswer calls ask for one connection after the other, each within a timeout, and returns the first answer
// without an error. Where there is none, it returns the last error; noAnswer if there are no connections.
func firstAnswer[T any](ctx context.Context, conns iter.Seq[*Conn], timeout time.Duration, noAnswer error, ask func(context.Context, *Conn) (T, error)) (T, error) {
	last := noAnswer
	for c := range conns {
		one, stop := context.WithTimeout(ctx, timeout)
		answer, err := ask(one, c)
		stop()
		if err == nil {
			return answer, nil
		}
		last = err
	}
	var none T
	return none, last
}

// Describe returns a version's manifest.
func (c *Conn) Describe(ctx context.Context, number uint64) (*consensus.Manifest, error) {
	return call[consensus.Manifest](ctx, c, methodDescribe, DescribeRequest{Number: number})
}

// Status returns the node's view of the fleet.
func (c *Conn) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, methodStatus, struct{}{})
}

// Publish asks the node to publish a version.
func (c *Conn) Publish(ctx context.Context, p PublishRequest) (*PublishReply, error) {
	return call[PublishReply](ctx, c, methodPublish, p)
}

// Fetch returns content and verifies its hash.
func (c *Conn) Fetch(ctx context.Context, part consensus.Part) ([]byte, error) {
	var data []byte
	for len(data) < part.Size {
		out := &wrapperspb.BytesValue{}
		raw, err := pack(FetchRequest{part.Hash, len(data)})
		if err != nil {
			return nil, err
		}
		if err := c.Invoke(c.context(ctx), methodPath(methodFetch), raw, out); err != nil {
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

// Put uploads the content that the node doesn't have. The node has stored all of it when the error is nil.
func (c *Conn) Put(ctx context.Context, content map[string][]byte) error {
	var all ContentHashes
	for h := range content {
		all.Hashes = append(all.Hashes, h)
	}
	missing, err := call[ContentHashes](ctx, c, methodMissing, all)
	if err != nil {
		return err
	}
	for _, h := range missing.Hashes {
		data, ok := content[h]
		if !ok {
			return errors.New("the node wants what was not offered")
		}
		if err := c.upload(ctx, data); err != nil {
			return err
		}
	}
	return nil
}

// upload sends content in chunks and waits until the node has stored it.
func (c *Conn) upload(ctx context.Context, data []byte) error {
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, methodPath(streamPut))
	if err != nil {
		return err
	}
	for at := 0; at < len(data) || at == 0; at += chunkSize {
		if err := s.SendMsg(wrapperspb.Bytes(data[at:min(len(data), at+chunkSize)])); err != nil {
			break // RecvMsg returns why
		}
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	return s.RecvMsg(&wrapperspb.BytesValue{})
}
