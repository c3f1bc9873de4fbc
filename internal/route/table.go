package route

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Request is what routes compare.
type Request struct {
	Host   string
	Path   string // a query is left out of account
	Method string
	Header map[string][]string // canonical names, as in http.Header
	Hash   uint64              // picks among weighted clusters: requests with the same hash go to the same one
}

// Match is the result of a lookup.
type Match struct {
	Route   *Route
	Cluster string // "" if the route has a DirectResponse
}

// Table is the compiled routes of all virtual hosts. It is safe for concurrent use.
type Table struct {
	domains   domainTable
	clusters  []string // of all routes, sorted
	needsHash bool
}

// Compile checks virtual hosts and compiles them to a table. The error names each route that is wrong. Names of header
// fields in the hosts' edits are made canonical, and the table refers to the hosts' routes.
func Compile(hosts []VirtualHost) (*Table, error) {
	t := &Table{domains: newDomainTable()}
	var errs []error
	count := 0
	for i := range hosts {
		v := &hosts[i]
		if count += len(v.Routes); count > MaxRoutes {
			return nil, fmt.Errorf("more than %d routes", MaxRoutes)
		}
		for _, err := range t.addHost(v) {
			errs = append(errs, fmt.Errorf("virtual host %d (%s): %w", i+1, v.Name, err))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	t.domains.sort()
	t.clusters = clusterNames(hosts)
	return t, nil
}

// addHost compiles a virtual host and adds it under its domains. It returns everything that is wrong with it.
func (t *Table) addHost(v *VirtualHost) []error {
	h, errs := compileHost(v)
	if len(v.Domains) == 0 {
		errs = append(errs, errors.New("no domains"))
	}
	for _, domain := range v.Domains {
		if err := t.domains.add(domain, h); err != nil {
			errs = append(errs, err)
		}
	}
	for i := range v.Routes {
		t.needsHash = t.needsHash || len(v.Routes[i].Clusters) > 1
	}
	return errs
}

// clusterNames returns the names of the clusters that routes lead to, sorted.
func clusterNames(hosts []VirtualHost) []string {
	names := map[string]bool{}
	for i := range hosts {
		for j := range hosts[i].Routes {
			for _, w := range hosts[i].Routes[j].Clusters {
				names[w.Cluster] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// NeedsHash reports whether any route looks at Request.Hash.
func (t *Table) NeedsHash() bool { return t.needsHash }

// Clusters returns the names of all clusters that routes lead to, sorted; none of a nil table.
func (t *Table) Clusters() []string {
	if t == nil {
		return nil
	}
	return t.clusters
}

// Lookup returns the first route that matches a request; false if none does.
func (t *Table) Lookup(r *Request) (Match, bool) {
	h := t.domains.find(r.Host)
	if h == nil {
		return Match{}, false
	}
	path := r.Path
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	c := h.find(r, path)
	if c == nil {
		return Match{}, false
	}
	return Match{Route: c.Route, Cluster: c.pickCluster(r.Hash)}, true
}
