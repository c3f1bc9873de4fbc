package agent

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// The nodes of a fleet communicate over gRPC. Every message is a google.protobuf.BytesValue, which contains a raft message
// in the raft library's encoding, raw content, or JSON. The names of methods and of JSON fields must not change, since
// nodes with different releases of the program run in one fleet.

const (
	serviceName      = "yokestall.fleet.v1.Fleet"
	fleetMetadataKey = "yokestall-fleet" // metadata key of the name of the fleet that a call is for
	maxMessage       = 4 << 20           // bytes of a message, enough for a manifest or status with the whole history
	chunkSize        = 256 << 10         // bytes of content in a message
	maxReason        = 4 << 10           // bytes of the reason in a node's refusal
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

// encodeMessage encodes a message as JSON in a BytesValue.
func encodeMessage(v any) (*wrapperspb.BytesValue, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return wrapperspb.Bytes(data), nil
}

// decodeMessage decodes a message from the JSON in a BytesValue. Its error has the code InvalidArgument.
func decodeMessage(in *wrapperspb.BytesValue, to any) error {
	if err := json.Unmarshal(in.GetValue(), to); err != nil {
		return status.Errorf(codes.InvalidArgument, "message not decodable as JSON: %v", err)
	}
	return nil
}

// checkFleet rejects a call that names another fleet or none. It is called before the call's message is decoded.
func (n *Node) checkFleet(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	if got := md.Get(fleetMetadataKey); len(got) != 1 || got[0] != n.Fleet {
		return status.Errorf(codes.PermissionDenied, "the call is not for this node's fleet, %q", n.Fleet)
	}
	return nil
}

// unaryMethod describes a method of one request and one reply.
func unaryMethod[In, Out any](
	name string, do func(n *Node, ctx context.Context, in *In) (*Out, error),
) grpc.MethodDesc {
	handler := func(
		server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor,
	) (any, error) {
		n := server.(*Node)
		if err := n.checkFleet(ctx); err != nil {
			return nil, err
		}
		raw := &wrapperspb.BytesValue{}
		if err := decode(raw); err != nil {
			return nil, err
		}
		in := new(In)
		if err := decodeMessage(raw, in); err != nil {
			return nil, err
		}
		out, err := do(n, ctx, in)
		if err != nil {
			return nil, err
		}
		if data, ok := any(out).(*rawBytes); ok {
			return wrapperspb.Bytes(*data), nil
		}
		return encodeMessage(out)
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// streamMethod describes a streaming method. clientStreams and serverStreams say which side may send several messages.
func streamMethod(name string, clientStreams, serverStreams bool, do func(n *Node, s grpc.ServerStream) error) grpc.StreamDesc {
	handler := func(server any, s grpc.ServerStream) error {
		n := server.(*Node)
		if err := n.checkFleet(s.Context()); err != nil {
			return err
		}
		return do(n, s)
	}
	return grpc.StreamDesc{StreamName: name, ClientStreams: clientStreams, ServerStreams: serverStreams, Handler: handler}
}

// serviceDescription describes the gRPC service that a node serves.
func serviceDescription() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName, HandlerType: (*any)(nil),
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

// methodPath returns the path of a method in gRPC calls.
func methodPath(name string) string { return "/" + serviceName + "/" + name }
