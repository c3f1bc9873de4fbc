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

// healthDraining is the value of health for a draining endpoint in a cluster file.
const healthDraining = "draining"

// writeEndpoints gives the load balancer a new version of the endpoint list, by its cluster file or by the control plane.
// health has the health of endpoints by name. Endpoints that are not in health are healthy.
func (d *demo) writeEndpoints(health map[string]string) error {
	for len(d.versions) > 0 { // removes signals of earlier versions
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

// publishXDS makes the control plane send the example xDS resources with the endpoints of the demo.
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

// placeEndpoints replaces the addresses and the health of the example endpoints by those of the demo endpoints with the
// same IDs. It returns an error if a demo endpoint is not in the example.
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
		return fmt.Errorf("example lists only %d of the %d endpoints of the demo", placed, len(d.endpoints))
	}
	return nil
}

// endpointNamed returns the endpoint with the given name, or nil if there is none.
func (d *demo) endpointNamed(name string) *appbox.Server {
	for _, e := range d.endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// setAddress sets the address of an endpoint. The address has the form host:port.
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
