package config

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/route"
	"yokestall/policy"
)

// The limits of configuration files.
const (
	MaxFileBytes = 16 << 20 // bytes of a file
	MaxFiles     = 1000     // cluster files of a version
	MaxClasses   = 64
	MaxTenants   = 250_000
	MaxServers   = 100_000 // endpoints of all clusters of a version
)

// The range of the memory limit, in MiB. The program's code occupies 28 MiB of the minimum, which leaves enough for a
// thousand connections.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// Keys holds the settings of the directory with TLS keys and certificates.
type Keys struct {
	Folder string        // path as written, relative to the program's file; "": TLS is not available
	First  string        // name of the certificate for clients that name no server or an unknown one; "": the first by name
	Poll   time.Duration // interval at which the directory is read
}

// Upstream holds the settings of connections to endpoints.
type Upstream struct {
	Connections    int           // limit of the connections to all endpoints of a cluster together
	Idle           time.Duration // how long a connection may be idle before endpoints close it
	ConnectTimeout time.Duration
}

// Files holds the paths of the cluster files and the tenants' file, and how they are watched.
type Files struct {
	Folder   string        // directory of the cluster files as written, relative to the program's file
	Tenants  string        // path of the tenants' file as written, relative to the program's file; "": none
	MaxShare float64       // share of a cluster's endpoints that a version may remove at once, from 0 to 1
	Poll     time.Duration // interval at which the files are polled
}

// Program holds the settings of the program's own file. It is immutable.
type Program struct {
	Listener  Listener   // the same as Listeners[0]
	Listeners []Listener // has at least one element
	Keys      Keys
	Upstream  Upstream
	// ClusterIdle is how long a cluster without requests keeps its engines and connections.
	ClusterIdle time.Duration
	// MemoryLimit is the memory limit of the process, in bytes; 0: none but the runtime's default.
	MemoryLimit int64
	// MetricsAddress is host:port of the listener for metrics; "": there is none.
	MetricsAddress string
	Files          Files
	Limits         policy.Limits
	Rules          policy.Rules
	Nodes          int    // number of nodes that send to the same endpoints
	Node           int    // number of this node, from 0 to Nodes - 1
	Zone           string // zone of this node
	Classes        []Class
	Tenants        []Tenant
	Hosts          []route.VirtualHost
	Table          *route.Table // compiled from Hosts; nil: routes come from a control plane
	XDS            XDS
	ExtProc        ExtProc
	Repeats        Repeats
	Agree          Agree
}

// Routed returns a copy of the program with the virtual hosts and the routing table of a control plane. classes are added to
// the program's own classes; tenants, if there are any, replace the program's own tenants. A program that has virtual hosts of
// its own is returned unchanged. Routed fails if a route without a direct response has a class that is not defined.
func (p *Program) Routed(
	table *route.Table, hosts []route.VirtualHost, classes []Class, tenants []Tenant,
) (*Program, error) {
	if len(p.Hosts) > 0 {
		return p, nil
	}
	out := *p
	out.Hosts, out.Table = hosts, table
	out.Classes = append(slices.Clone(p.Classes), classes...)
	if len(tenants) > 0 {
		out.Tenants = tenants
	}
	known := map[string]bool{}
	for _, c := range out.Classes {
		known[c.Name] = true
	}
	for i := range hosts {
		for j := range hosts[i].Routes {
			if r := &hosts[i].Routes[j]; r.DirectResponse == nil && !known[r.Class] {
				return nil, fmt.Errorf("virtual host %s: route %s: class %q is not known", hosts[i].Name, r.Name, r.Class)
			}
		}
	}
	return &out, nil
}

// Class returns the index in Classes of the class with this name, or -1 if there is none.
func (p *Program) Class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}
