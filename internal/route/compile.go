package route

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// compiledHost holds a virtual host's routes by what their paths begin with: all kinds of path
// have a literal start, which narrows the routes to be looked at; the lowest that
// matches wins.
type compiledHost struct {
	routes        []compiledRoute
	exactPaths    map[string][]int32
	prefixLengths []int // of the starts, shortest first
	prefixes      map[string][]int32
}

type compiledRoute struct {
	*Route
	regex        *regexp.Regexp
	template     []segment
	headers      []compiledHeaderMatcher
	totalWeight  uint64   // of the clusters' weights
	clusterSeeds []uint64 // of the clusters' names
}

type compiledHeaderMatcher struct {
	HeaderMatcher
	regex *regexp.Regexp
}

func compileHost(v *VirtualHost) (*compiledHost, []error) {
	h := &compiledHost{exactPaths: map[string][]int32{}, prefixes: map[string][]int32{}}
	var found []error
	for i := range v.Routes {
		r := &v.Routes[i]
		c, start, err := compileRoute(r)
		if err != nil {
			found = append(found, fmt.Errorf("route %d (%s): %w", i+1, r.Name, err))
			continue
		}
		h.routes = append(h.routes, c)
		n := int32(len(h.routes) - 1)
		if r.Kind == PathExact {
			h.exactPaths[r.Path] = append(h.exactPaths[r.Path], n)
			continue
		}
		if h.prefixes[start] == nil && !slices.Contains(h.prefixLengths, len(start)) {
			h.prefixLengths = append(h.prefixLengths, len(start))
		}
		h.prefixes[start] = append(h.prefixes[start], n)
	}
	slices.Sort(h.prefixLengths)
	return h, found
}

// compileRoute gives the route and what its path begins with, letter by letter.
func compileRoute(r *Route) (c compiledRoute, start string, err error) {
	c.Route = r
	if len(r.Path) > MaxPatternBytes {
		return c, "", fmt.Errorf("path: longer than %d bytes", MaxPatternBytes)
	}
	switch r.Kind {
	case PathPrefix:
		start = r.Path
	case PathExact:
		if r.Path == "" {
			return c, "", errors.New("path: is missing")
		}
	case PathTemplate:
		if c.template, start, err = compileTemplate(r.Path); err != nil {
			return c, "", fmt.Errorf("template: %w", err)
		}
	case PathRegex:
		if c.regex, err = compileFullMatch(r.Path); err != nil {
			return c, "", fmt.Errorf("regex: %w", err)
		}
		start = literalPrefix(r.Path)
	default:
		return c, "", fmt.Errorf("path: kind %d is unknown", r.Kind)
	}
	if len(r.Headers) > MaxHeadersPerRoute {
		return c, "", fmt.Errorf("headers: %d; %d at most", len(r.Headers), MaxHeadersPerRoute)
	}
	for _, h := range r.Headers {
		if h.Name == "" || len(h.Name)+len(h.Value) > MaxPatternBytes {
			return c, "", fmt.Errorf("header %q: no name, or too long", h.Name)
		}
		ch := compiledHeaderMatcher{HeaderMatcher: h}
		ch.Name = canonicalName(h.Name)
		switch {
		case h.Kind == HeaderRegex:
			if ch.regex, err = compileFullMatch(h.Value); err != nil {
				return c, "", fmt.Errorf("header %s: %w", h.Name, err)
			}
		case h.Kind > HeaderRegex:
			return c, "", fmt.Errorf("header %s: kind %d is unknown", h.Name, h.Kind)
		}
		c.headers = append(c.headers, ch)
	}
	for _, e := range []*HeaderEdits{r.RequestEdits, r.ResponseEdits} {
		if e == nil {
			continue
		}
		if err := e.Normalize(); err != nil {
			return c, "", err
		}
	}
	if r.DirectResponse != nil {
		if len(r.Clusters) > 0 || r.DirectResponse.Status < 200 || r.DirectResponse.Status > 599 {
			return c, "", fmt.Errorf("answer: %d with %d clusters", r.DirectResponse.Status, len(r.Clusters))
		}
		return c, start, nil
	}
	if len(r.Clusters) == 0 || len(r.Clusters) > MaxClustersPerRoute {
		return c, "", fmt.Errorf("clusters: %d; 1 to %d", len(r.Clusters), MaxClustersPerRoute)
	}
	for _, w := range r.Clusters {
		if w.Cluster == "" {
			return c, "", errors.New("clusters: one has no name")
		}
		c.totalWeight += uint64(w.Weight)
		c.clusterSeeds = append(c.clusterSeeds, clusterSeed(w.Cluster))
	}
	if c.totalWeight == 0 && len(r.Clusters) > 1 {
		return c, "", errors.New("clusters: the weights add up to 0")
	}
	return c, start, nil
}

// compileFullMatch compiles an expression that has to match from end to end, as Envoy's
// RegexMatcher does.
func compileFullMatch(expr string) (*regexp.Regexp, error) {
	if expr == "" {
		return nil, errors.New("is missing")
	}
	if _, err := regexp.Compile(expr); err != nil { // or "a)(b" would be taken
		return nil, err
	}
	return regexp.Compile("^(?:" + expr + ")$")
}

// literalPrefix gives letters that every match begins with, maybe fewer than there are.
func literalPrefix(expr string) string {
	re, err := regexp.Compile(expr) // with an anchor it would give none
	if err != nil {
		return ""
	}
	start, _ := re.LiteralPrefix()
	return start
}
