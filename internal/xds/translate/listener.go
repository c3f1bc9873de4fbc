package translate

import (
	"errors"
	"fmt"
	"slices"

	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// Listener has the routes of a listener.v3.Listener. The program uses no other part of a listener resource.
type Listener struct {
	RouteName    string  // the name of the route configuration; "" if the routes are inline
	InlineRoutes *Routes // nil if the listener refers to a route configuration by name
}

// listener translates a listener. All HTTP connection managers of the listener must refer to the same route
// configuration; inline routes are accepted only if there is a single manager.
func (o *Options) listener(l *listenerv3.Listener) (*Listener, error) {
	managers := connectionManagers(l)
	if len(managers) == 0 {
		return nil, errors.New("the listener has no HTTP connection manager")
	}
	var out *Listener
	for _, a := range managers {
		next, err := o.connectionManager(a)
		if err != nil {
			return nil, err
		}
		if out != nil && (out.InlineRoutes != nil || next.InlineRoutes != nil || out.RouteName != next.RouteName) {
			return nil, errors.New("the listener has HTTP connection managers with different or inline routes")
		}
		out = next
	}
	return out, nil
}

// connectionManagers returns the HTTP connection managers of a listener: of the API listener and of all filter chains.
func connectionManagers(l *listenerv3.Listener) (managers []*anypb.Any) {
	if a := l.GetApiListener().GetApiListener(); a != nil {
		managers = append(managers, a)
	}
	chains := l.GetFilterChains()
	if d := l.GetDefaultFilterChain(); d != nil {
		chains = append(slices.Clone(chains), d)
	}
	for _, c := range chains {
		for _, f := range c.GetFilters() {
			if a := f.GetTypedConfig(); a.MessageIs((*hcmv3.HttpConnectionManager)(nil)) {
				managers = append(managers, a)
			}
		}
	}
	return managers
}

// connectionManager translates the routes of an HTTP connection manager.
func (o *Options) connectionManager(a *anypb.Any) (*Listener, error) {
	var m hcmv3.HttpConnectionManager
	if err := unmarshal(a, &m); err != nil {
		return nil, fmt.Errorf("HTTP connection manager: %w", err)
	}
	if err := rejectFields(m.ProtoReflect(), rejectedInConnectionManager); err != nil {
		return nil, fmt.Errorf("HTTP connection manager: %w", err)
	}
	switch {
	case m.GetRds() != nil:
		if err := checkConfigSource("rds.config_source", m.GetRds().GetConfigSource()); err != nil {
			return nil, err
		}
		if m.GetRds().GetRouteConfigName() == "" {
			return nil, errors.New("rds.route_config_name: no name given")
		}
		return &Listener{RouteName: m.GetRds().GetRouteConfigName()}, nil
	case m.GetRouteConfig() != nil:
		routes, err := o.routes(m.GetRouteConfig())
		if err != nil {
			return nil, fmt.Errorf("route_config: %w", err)
		}
		return &Listener{InlineRoutes: routes}, nil
	}
	return nil, errors.New("HTTP connection manager: neither rds nor route_config is set")
}
