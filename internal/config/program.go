package config

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/route"
	"yokestall/policy"
)

// The limits of files.
const (
	MaxFile    = 16 << 20 // bytes of one file
	MaxFiles   = 1000     // cluster files
	MaxClasses = 64
	MaxTenants = 250_000
	MaxServers = 100_000 // over all clusters of a version
)

// The range of the soft memory limit, in MiB: below the least the garbage collector would run without end.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// Keys is where the keys and certificates of TLS are.
type Keys struct {
	Folder string // as written; relative to the program's file; "": TLS is not available
	First  string // the certificate for clients that name no server
	Poll   time.Duration
}

// Upstream is the settings of connections to endpoints.
type Upstream struct {
	Connections    int // limit of those to all endpoints of a cluster
	Idle           time.Duration
	ConnectTimeout time.Duration
}

// Files is where the files beside the program's are, and how they are watched.
type Files struct {
	Folder   string  // of cluster files, as written; relative to the program's file
	Tenants  string  // the tenants' own file, likewise; "": they stand in the program's file
	MaxShare float64 // of a cluster's endpoints that a version may remove
	Poll     time.Duration
}

// Program is the settings of the program's own file. It is immutable.
type Program struct {
	Listener  Listener   // the first of Listeners
	Listeners []Listener // at least one
	Keys      Keys
	Upstream  Upstream
	// ClusterIdle is how long a cluster without requests keeps its engines and its connections.
	ClusterIdle time.Duration
	// MemoryLimit is the soft memory limit of the Go runtime, in bytes; 0: the runtime's default.
	MemoryLimit int64
	Files       Files
	Limits      policy.Limits
	Rules       policy.Rules
	Nodes       int
	Node        int
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Hosts       []route.VirtualHost
	Table       *route.Table // nil: routes come from a control plane
	XDS         XDS
	ExtProc     ExtProc
	Repeats     Repeats
	Agree       Agree
}

// Routed returns the program with routes of a control plane, with its classes beside the program's own, and with its
// tenants in place of them if there are any. A program with routes of its own is returned as it is. The error names a
// route whose class is not defined.
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

// Class returns the index of the class with a name; -1 if there is none.
func (p *Program) Class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}
