package app

import (
	"net"
	"strconv"
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"yokestall/internal/fake/appbox"
)

// packAny packs a resource into an Any message.
func packAny(t testing.TB, m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// ingressRoutes returns the listener "ingress", which uses the route configuration "main".
func ingressRoutes(t testing.TB) proto.Message {
	manager := &hcmv3.HttpConnectionManager{
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{RouteConfigName: "main"}},
	}
	return &listenerv3.Listener{
		Name:        "ingress",
		ApiListener: &listenerv3.ApiListener{ApiListener: packAny(t, manager)},
	}
}

// routeToCluster returns a route by path prefix to a cluster, with a class in the route's metadata.
func routeToCluster(prefix, cluster, class string) *routev3.Route {
	action := &routev3.RouteAction{ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: cluster}}
	metadata := &structpb.Struct{Fields: map[string]*structpb.Value{"class": structpb.NewStringValue(class)}}
	return &routev3.Route{
		Name:     prefix,
		Match:    &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: prefix}},
		Action:   &routev3.Route_Route{Route: action},
		Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"yokestall": metadata}},
	}
}

// mainRoutes returns the route configuration "main", whose only virtual host matches all domains.
func mainRoutes(routes ...*routev3.Route) proto.Message {
	all := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}, Routes: routes}
	return &routev3.RouteConfiguration{Name: "main", VirtualHosts: []*routev3.VirtualHost{all}}
}

// edsCluster returns a cluster whose endpoints are discovered by EDS.
func edsCluster(name string) proto.Message {
	return &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}
}

// lbEndpoint returns an endpoint of an assignment, with an address and a health status.
func lbEndpoint(addr string, h corev3.HealthStatus) *endpointv3.LbEndpoint {
	host, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	socket := &corev3.SocketAddress{
		Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}
	endpoint := &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: socket}},
	}
	return &endpointv3.LbEndpoint{
		HealthStatus: h, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: endpoint},
	}
}

// loadAssignment returns the assignment of a cluster whose endpoints are the boxes of byPriority. The index of a list in
// byPriority is the priority of its boxes. All endpoints have the health status h.
func loadAssignment(
	cluster string, h corev3.HealthStatus, byPriority ...[]*appbox.Server,
) *endpointv3.ClusterLoadAssignment {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for p, boxes := range byPriority {
		l := &endpointv3.LocalityLbEndpoints{Priority: uint32(p)}
		for _, b := range boxes {
			l.LbEndpoints = append(l.LbEndpoints, lbEndpoint(b.Addr(), h))
		}
		a.Endpoints = append(a.Endpoints, l)
	}
	return a
}

const healthy = corev3.HealthStatus_HEALTHY
