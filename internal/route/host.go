package route

import (
	"fmt"
	"slices"
)

// compiledHost is a virtual host's routes by how their paths begin: every kind of path has a literal prefix, maybe an
// empty one, which narrows the routes to compare. Of those that match, the one with the lowest index wins.
type compiledHost struct {
	routes        []compiledRoute
	exactPaths    map[string][]int32 // path to indices of PathExact routes, ascending
	prefixLengths []int              // of the keys of prefixes, ascending
	prefixes      map[string][]int32 // literal prefix to indices of the other routes, ascending
}

// compileHost compiles the routes of a virtual host. It returns an error for each route that is wrong.
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

// add appends a route. prefix is its path's literal prefix; a PathExact route has none.
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

// find returns the first route that matches a request whose path, without its query, is path; nil if none does.
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

// firstMatch returns the first of the routes with the given indices that matches and comes before best, or else best.
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
