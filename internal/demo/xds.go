package demo

import (
	"fmt"
	"io/fs"
	"net"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"yokestall/deploy"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

// push has the control plane send the example set, with the boxes' own addresses in it.
func (s *show) push(health map[string]string) error {
	names, err := fs.Glob(deploy.XDS, "xds/*.yaml")
	if err != nil {
		return err
	}
	for _, name := range names {
		text, err := deploy.XDS.ReadFile(name)
		if err != nil {
			return err
		}
		found, err := xdsfile.Resources(config.File{Name: name, Text: text})
		if err != nil {
			return err
		}
		for _, m := range found {
			if a, ok := m.(*endpointv3.ClusterLoadAssignment); ok {
				if err := s.place(a, health); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
		}
		if err := s.plane.SetResources(found); err != nil {
			return err
		}
	}
	return nil
}

// place puts the boxes where the example has its endpoints, by their ids.
func (s *show) place(a *endpointv3.ClusterLoadAssignment, health map[string]string) error {
	placed := 0
	for _, l := range a.Endpoints {
		for _, e := range l.LbEndpoints {
			id := e.GetMetadata().GetFilterMetadata()["yokestall"].GetFields()["id"].GetStringValue()
			for _, b := range s.boxes {
				if b.Name != id {
					continue
				}
				host, text, err := net.SplitHostPort(b.Addr())
				if err != nil {
					return err
				}
				port, err := strconv.Atoi(text)
				if err != nil {
					return err
				}
				at := e.GetEndpoint().GetAddress().GetSocketAddress()
				at.Address, at.PortSpecifier = host, &corev3.SocketAddress_PortValue{PortValue: uint32(port)}
				if health[id] == "draining" {
					e.HealthStatus = corev3.HealthStatus_DRAINING
				}
				placed++
			}
		}
	}
	if placed != len(s.boxes) {
		return fmt.Errorf("has places for %d of %d boxes", placed, len(s.boxes))
	}
	return nil
}
