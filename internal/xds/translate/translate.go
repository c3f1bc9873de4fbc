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

// Options are the settings that a translation depends on.
type Options struct {
	// Classes are the request classes of the program's own settings file.
	Classes []string
	// DefaultClass is the class of routes that name none; "": such routes are rejected.
	DefaultClass string
	// AllowUnknownClasses accepts routes whatever class they name, to check them by themselves.
	AllowUnknownClasses bool
}

// Decode decodes a resource into a *ClusterResource, *Assignment, *Routes or *Listener. It is an ads.Decode.
func (o *Options) Decode(t ads.Type, body *anypb.Any) (name string, value any, err error) {
	defer func() { // a fault of this program must reject one resource and not end the process
		if p := recover(); p != nil {
			value, err = nil, fmt.Errorf("can't be read: %v", p)
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
	return "", nil, fmt.Errorf("type %d is not taken", t)
}

// unmarshal parses the message in body.
func unmarshal(body *anypb.Any, m proto.Message) error {
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body.GetValue(), m); err != nil {
		return errors.New("the bytes are no such message")
	}
	return nil
}
