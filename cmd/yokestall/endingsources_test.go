package main

import (
	"fmt"
	"net"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/controlplane"
)

// endingSources are the sources of the configuration, by name.
var endingSources = map[string]func() endingSource{
	"files": func() endingSource { return fileSource{} },
	"xDS":   func() endingSource { return &xdsSource{} },
}

// fileSource changes the cluster file, and adds a listener to the program's file meanwhile.
type fileSource struct{}

func (fileSource) settings() string { return "" }

func (fileSource) start(r *endingRun) { r.write("clusters/rooms.toml", r.clusterFile()) }

func (fileSource) serving(*endingRun) {}

func (fileSource) publish(r *endingRun) (told time.Time) {
	r.write("clusters/rooms.toml", r.clusterFile())
	return time.Now().Add(r.poll)
}

// xdsSource changes the endpoints of a control plane.
type xdsSource struct{ plane *controlplane.Server }

func (s *xdsSource) settings() string {
	return fmt.Sprintf("[xds]\nservers = [%q]\nnode_id = \"ending\"\n", s.plane.Addr())
}

func (s *xdsSource) start(r *endingRun) {
	var err error
	if s.plane, err = controlplane.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.plane.Down)
	s.publish(r)
}

func (s *xdsSource) serving(*endingRun) {}

func (s *xdsSource) publish(r *endingRun) (told time.Time) {
	locality := &endpointv3.LocalityLbEndpoints{}
	for _, server := range r.listed {
		locality.LbEndpoints = append(locality.LbEndpoints, xdsEndpoint(server))
	}
	err := s.plane.SetResources(map[string]proto.Message{
		"rooms": &clusterv3.Cluster{
			Name: "rooms", ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		},
	})
	if err == nil {
		err = s.plane.SetResources(map[string]proto.Message{
			"rooms": &endpointv3.ClusterLoadAssignment{
				ClusterName: "rooms", Endpoints: []*endpointv3.LocalityLbEndpoints{locality},
			},
		})
	}
	if err != nil {
		r.t.Fatal(err)
	}
	return time.Now()
}

// xdsEndpoint returns a server as an endpoint of a load assignment.
func xdsEndpoint(s listedServer) *endpointv3.LbEndpoint {
	host, text, _ := net.SplitHostPort(s.addr)
	port, _ := strconv.Atoi(text)
	health := corev3.HealthStatus_HEALTHY
	if s.draining {
		health = corev3.HealthStatus_DRAINING
	}
	address := &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
	return &endpointv3.LbEndpoint{
		HealthStatus:   health,
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: address}},
	}
}
