package demo

import (
	"bytes"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"yokestall/deploy"
	"yokestall/internal/config"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/xds/xdsfile"
)

// healthDraining is the health of an endpoint that drains, in a cluster file.
const healthDraining = "draining"

// writeEndpoints gives the program a version of the endpoint list, by its cluster file or by the control plane. health
// is by endpoint name; those that are not in it are healthy.
func (d *demo) writeEndpoints(health map[string]string) error {
	for len(d.versions) > 0 { // the next signal may be this version's
		<-d.versions
	}
	if d.plane != nil {
		return d.publishXDS(health)
	}
	return d.writeClusterFile(health)
}

// writeClusterFile replaces the cluster file.
func (d *demo) writeClusterFile(health map[string]string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[cluster]\nname = %q\n\n", clusterName)
	for _, e := range d.endpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\nweight = 1\n", e.Name, e.Addr())
		if h := health[e.Name]; h != "" {
			fmt.Fprintf(&b, "health = %q\n", h)
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(d.endpoints))
	name := d.clusterFile()
	if err := os.WriteFile(name+".new", b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// publishXDS has the control plane send the example set with the demo's endpoints in it.
func (d *demo) publishXDS(health map[string]string) error {
	names, err := fs.Glob(deploy.XDS, "xds/*.yaml")
	if err != nil {
		return err
	}
	for _, name := range names {
		text, err := deploy.XDS.ReadFile(name)
		if err != nil {
			return err
		}
		resources, err := xdsfile.Resources(config.File{Name: name, Text: text})
		if err != nil {
			return err
		}
		for _, resource := range resources {
			if a, ok := resource.(*endpointv3.ClusterLoadAssignment); ok {
				if err := d.placeEndpoints(a, health); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
		}
		if err := d.plane.SetResources(resources); err != nil {
			return err
		}
	}
	return nil
}

// placeEndpoints replaces the example's endpoints by the demo's, by their ids. It returns an error unless all of the
// demo's endpoints have a place.
func (d *demo) placeEndpoints(a *endpointv3.ClusterLoadAssignment, health map[string]string) error {
	placed := 0
	for _, locality := range a.Endpoints {
		for _, e := range locality.LbEndpoints {
			id := e.GetMetadata().GetFilterMetadata()["yokestall"].GetFields()["id"].GetStringValue()
			own := d.endpointNamed(id)
			if own == nil {
				continue
			}
			if err := setAddress(e, own.Addr()); err != nil {
				return err
			}
			if health[id] == healthDraining {
				e.HealthStatus = corev3.HealthStatus_DRAINING
			}
			placed++
		}
	}
	if placed != len(d.endpoints) {
		return fmt.Errorf("has places for %d of %d boxes", placed, len(d.endpoints))
	}
	return nil
}

// endpointNamed returns the endpoint with a name, nil if there is none.
func (d *demo) endpointNamed(name string) *appbox.Server {
	for _, e := range d.endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// setAddress sets an endpoint's address, host:port.
func setAddress(e *endpointv3.LbEndpoint, address string) error {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	socket := e.GetEndpoint().GetAddress().GetSocketAddress()
	socket.Address, socket.PortSpecifier = host, &corev3.SocketAddress_PortValue{PortValue: uint32(port)}
	return nil
}
