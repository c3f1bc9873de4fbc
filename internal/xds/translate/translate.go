package translate

import (
	"errors"
	"fmt"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/xds/ads"
)

// Options are the settings of the program that the translation depends on.
type Options struct {
	// Classes are the request classes of the program's own settings file.
	Classes []string
	// DefaultClass is the class of routes that name none. If it is "", such routes are rejected.
	DefaultClass string
	// AllowUnknownClasses accepts routes of any class or none, so that they can be checked without the settings file.
	AllowUnknownClasses bool
}

// Decode decodes a resource into a *ClusterResource, *Assignment, *Routes or *Listener. The method has the type
// ads.Decode.
func (o *Options) Decode(t ads.Type, body *anypb.Any) (name string, value any, err error) {
	defer func() { // a panic in this package must reject one resource, not end the process
		if p := recover(); p != nil {
			value, err = nil, fmt.Errorf("internal error while decoding the resource: %v", p)
		}
	}()
	switch t {
	case ads.Cluster:
		var m clusterv3.Cluster
		if err := unmarshal(body, &m); err != nil {
			return "", nil, err
		}
		c, err := o.cluster(&m)
		return m.GetName(), c, err
	case ads.Endpoint:
		var m endpointv3.ClusterLoadAssignment
		if err := unmarshal(body, &m); err != nil {
			return "", nil, err
		}
		a, err := o.assignment(&m, "")
		return m.GetClusterName(), a, err
	case ads.Route:
		var m routev3.RouteConfiguration
		if err := unmarshal(body, &m); err != nil {
			return "", nil, err
		}
		r, err := o.routes(&m)
		return m.GetName(), r, err
	case ads.Listener:
		var m listenerv3.Listener
		if err := unmarshal(body, &m); err != nil {
			return "", nil, err
		}
		l, err := o.listener(&m)
		return m.GetName(), l, err
	}
	return "", nil, fmt.Errorf("resource type %d is not supported", t)
}

// unmarshal parses the value of body into m and ignores unknown fields. It does not check body's type URL.
func unmarshal(body *anypb.Any, m proto.Message) error {
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body.GetValue(), m); err != nil {
		return errors.New("malformed protobuf message")
	}
	return nil
}
