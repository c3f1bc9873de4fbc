package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Request is what routes look at.
type Request struct {
	Host   string
	Path   string
	Method string
	Header map[string][]string // canonical names, as in http.Header
	Hash   uint64              // of what should keep to one of several clusters
}

// Match is the outcome of a look-up.
type Match struct {
	Route   *Route
	Cluster string
}

// Table is compiled routes. It is safe for concurrent use.
type Table struct {
	exact     map[string]*compiledHost
	suffix    affixTable
	prefix    affixTable
	anyDomain *compiledHost
	clusters  []string
	needsHash bool
}

// Compile checks virtual hosts and makes a table of them. The error names each route
// at fault.
func Compile(hosts []VirtualHost) (*Table, error) {
	t := &Table{
		exact:  map[string]*compiledHost{},
		suffix: affixTable{hosts: map[string]*compiledHost{}}, prefix: affixTable{hosts: map[string]*compiledHost{}},
	}
	var found []error
	count := 0
	clusters := map[string]bool{}
	for i := range hosts {
		v := &hosts[i]
		where := func(err error) error { return fmt.Errorf("virtual host %d (%s): %w", i+1, v.Name, err) }
		if count += len(v.Routes); count > MaxRoutes {
			return nil, fmt.Errorf("more than %d routes", MaxRoutes)
		}
		h, errs := compileHost(v)
		for _, err := range errs {
			found = append(found, where(err))
		}
		if len(v.Domains) == 0 {
			found = append(found, where(errors.New("no domains")))
		}
		for _, d := range v.Domains {
			if err := t.addDomain(d, h); err != nil {
				found = append(found, where(err))
			}
		}
		for j := range v.Routes {
			for _, c := range v.Routes[j].Clusters {
				clusters[c.Cluster] = true
			}
			t.needsHash = t.needsHash || len(v.Routes[j].Clusters) > 1
		}
	}
	if len(found) > 0 {
		return nil, errors.Join(found...)
	}
	t.suffix.sort()
	t.prefix.sort()
	for name := range clusters {
		t.clusters = append(t.clusters, name)
	}
	slices.Sort(t.clusters)
	return t, nil
}

// NeedsHash tells whether Request.Hash matters to any route.
func (t *Table) NeedsHash() bool { return t.needsHash }

// Clusters names all clusters that routes lead to, sorted; none of a nil table.
func (t *Table) Clusters() []string {
	if t == nil {
		return nil
	}
	return t.clusters
}

// Lookup gives the route of a request; false if none matches.
func (t *Table) Lookup(r *Request) (Match, bool) {
	h := t.findHost(r.Host)
	if h == nil {
		return Match{}, false
	}
	path := r.Path
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	best := int32(len(h.routes))
	try := func(list []int32) int32 {
		for _, i := range list {
			if i >= best {
				break
			}
			if h.routes[i].matches(r, path) {
				return i
			}
		}
		return best
	}
	best = try(h.exactPaths[path])
	for _, n := range h.prefixLengths {
		if n > len(path) {
			break
		}
		best = try(h.prefixes[path[:n]])
	}
	if int(best) == len(h.routes) {
		return Match{}, false
	}
	c := &h.routes[best]
	return Match{Route: c.Route, Cluster: c.pickCluster(r.Hash)}, true
}
