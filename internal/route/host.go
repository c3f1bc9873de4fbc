package route

import (
	"fmt"
	"slices"
)

// compiledHost holds the routes of a virtual host, indexed by their exact path or the literal prefix of their path. A
// lookup compares a request only with routes whose exact path or prefix fits the request's path. Of the routes that
// match, the route with the lowest index is found.
type compiledHost struct {
	routes        []compiledRoute
	exactPaths    map[string][]int32 // maps a path to the indices of its PathExact routes, ascending
	prefixLengths []int              // lengths of the keys of prefixes, ascending, each once
	prefixes      map[string][]int32 // maps a literal prefix, which may be "", to the indices of the other routes, ascending
}

// compileHost checks and compiles the routes of a virtual host. It returns an error for each invalid route.
func compileHost(v *VirtualHost) (*compiledHost, []error) {
	h := &compiledHost{exactPaths: map[string][]int32{}, prefixes: map[string][]int32{}}
	var errs []error
	for i := range v.Routes {
		r := &v.Routes[i]
		c, prefix, err := compileRoute(r)
		if err != nil {
			errs = append(errs, fmt.Errorf("route %d (%s): %w", i+1, r.Name, err))
			continue
		}
		h.add(c, prefix)
	}
	slices.Sort(h.prefixLengths)
	return h, errs
}

// add appends a route and indexes it. prefix is the literal prefix of the route's path; it is not used for PathExact.
func (h *compiledHost) add(c compiledRoute, prefix string) {
	index := int32(len(h.routes))
	h.routes = append(h.routes, c)
	if c.Kind == PathExact {
		h.exactPaths[c.Path] = append(h.exactPaths[c.Path], index)
		return
	}
	if h.prefixes[prefix] == nil && !slices.Contains(h.prefixLengths, len(prefix)) {
		h.prefixLengths = append(h.prefixLengths, len(prefix))
	}
	h.prefixes[prefix] = append(h.prefixes[prefix], index)
}

// find returns the first route that matches a request, or nil if none does. path is the request's path without the query.
func (h *compiledHost) find(r *Request, path string) *compiledRoute {
	best := int32(len(h.routes))
	best = h.firstMatch(h.exactPaths[path], best, r, path)
	for _, length := range h.prefixLengths {
		if length > len(path) {
			break
		}
		best = h.firstMatch(h.prefixes[path[:length]], best, r, path)
	}
	if int(best) == len(h.routes) {
		return nil
	}
	return &h.routes[best]
}

// firstMatch returns the first of the given indices that is below best and whose route matches the request, or else best.
func (h *compiledHost) firstMatch(indices []int32, best int32, r *Request, path string) int32 {
	for _, index := range indices {
		if index >= best {
			break
		}
		if h.routes[index].matches(r, path) {
			return index
		}
	}
	return best
}
