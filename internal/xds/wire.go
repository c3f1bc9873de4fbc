package xds

import (
	"fmt"
	"maps"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/xds/ads"
)

// rawCodec is a gRPC codec that leaves received messages unparsed. So the time of receipt is taken before a message is
// parsed, and this package reports a malformed message, which ends the stream.
type rawCodec struct{}

var _ encoding.CodecV2 = rawCodec{}

// Name implements encoding.CodecV2.
func (rawCodec) Name() string { return "proto" }

// Marshal implements encoding.CodecV2 for a proto.Message.
func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	b, err := proto.Marshal(v.(proto.Message))
	return mem.BufferSlice{mem.SliceBuffer(b)}, err
}

// Unmarshal implements encoding.CodecV2 for a *[]byte.
func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

// parseResponse parses a response of the configured variant.
func (x *Client) parseResponse(b []byte) (*ads.Response, error) {
	if x.config.Variant == ads.Incremental {
		return parseDeltaResponse(b)
	}
	return parseStateOfTheWorldResponse(b)
}

func parseDeltaResponse(b []byte) (*ads.Response, error) {
	var m discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("parse DeltaDiscoveryResponse: %w", err)
	}
	out := &ads.Response{
		URL: m.GetTypeUrl(), Version: m.GetSystemVersionInfo(), Nonce: m.GetNonce(), Removed: m.GetRemovedResources(),
	}
	for _, r := range m.GetResources() {
		out.Resources = append(out.Resources,
			ads.Resource{Name: r.GetName(), Version: r.GetVersion(), Body: r.GetResource()})
	}
	return out, nil
}

func parseStateOfTheWorldResponse(b []byte) (*ads.Response, error) {
	var m discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("parse DiscoveryResponse: %w", err)
	}
	out := &ads.Response{URL: m.GetTypeUrl(), Version: m.GetVersionInfo(), Nonce: m.GetNonce()}
	for _, a := range m.GetResources() {
		out.Resources = append(out.Resources, ads.Resource{Body: a})
	}
	return out, nil
}

// discoveryRequest returns the protobuf message of a request. The first request of a stream carries the node.
func (x *Client) discoveryRequest(r *ads.Request, first bool) proto.Message {
	var node *corev3.Node
	if first {
		node = x.node
	}
	var errorDetail *status.Status
	if r.ErrorDetail != "" {
		errorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: r.ErrorDetail}
	}
	if x.config.Variant == ads.Incremental {
		return &discoveryv3.DeltaDiscoveryRequest{
			Node:                     node,
			TypeUrl:                  r.Type.URL(),
			ResponseNonce:            r.Nonce,
			ErrorDetail:              errorDetail,
			ResourceNamesSubscribe:   r.Subscribe,
			ResourceNamesUnsubscribe: r.Unsubscribe,
			InitialResourceVersions:  maps.Clone(r.InitialVersions),
		}
	}
	return &discoveryv3.DiscoveryRequest{
		Node:          node,
		TypeUrl:       r.Type.URL(),
		ResponseNonce: r.Nonce,
		ErrorDetail:   errorDetail,
		VersionInfo:   r.Version,
		ResourceNames: r.Names,
	}
}
