package route

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Request has the properties of a request that routes depend on.
type Request struct {
	Host   string // may have a port, which is ignored
	Path   string // may have a query, which is ignored
	Method string
	Header map[string][]string // by canonical names, as in http.Header
	Hash   uint64              // picks a weighted cluster; requests of a route with the same hash go to the same cluster
}

// Match is the result of a successful lookup.
type Match struct {
	Route   *Route
	Cluster string // "" if the route has a DirectResponse
}

// Table holds the compiled routes of all virtual hosts. It is safe for concurrent use.
type Table struct {
	domains   domainTable
	clusters  []string // names of the clusters of all routes, sorted, each once
	needsHash bool     // a route has several clusters
}

// Compile checks virtual hosts and compiles them to a table. The error reports each invalid route and domain. Compile
// makes the names of header fields in the hosts' edits canonical. The table refers to the hosts' routes, which must not
// change any more.
func Compile(hosts []VirtualHost) (*Table, error) {
	t := &Table{domains: newDomainTable()}
	var errs []error
	count := 0
	for i := range hosts {
		v := &hosts[i]
		if count += len(v.Routes); count > MaxRoutes {
			return nil, fmt.Errorf("the virtual hosts have more than %d routes together", MaxRoutes)
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

// addHost compiles a virtual host and adds it under its domains. It returns an error for each fault of the virtual host.
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

// clusterNames returns the names of the clusters of all routes, sorted, each once.
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

// NeedsHash reports whether any route has several clusters, so that a lookup depends on Request.Hash.
func (t *Table) NeedsHash() bool { return t.needsHash }

// Clusters returns the names of the clusters of all routes, sorted, each once. A nil table has none.
func (t *Table) Clusters() []string {
	if t == nil {
		return nil
	}
	return t.clusters
}

// Lookup returns the first route that matches a request and the cluster that the request goes to. The result is false if
// no virtual host or no route matches.
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
