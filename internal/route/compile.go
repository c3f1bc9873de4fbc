package route

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// host holds a virtual host's routes by what their paths begin with: all kinds of path
// have a literal start, which narrows the routes to be looked at; the lowest that
// matches wins.
type host struct {
	routes  []compiled
	exact   map[string][]int32
	lengths []int // of the starts, shortest first
	starts  map[string][]int32
}

type compiled struct {
	*Route
	regex    *regexp.Regexp
	template []segment
	headers  []compiledHeader
	total    uint64   // of the clusters' weights
	seeds    []uint64 // of the clusters' names
}

type compiledHeader struct {
	Header
	regex *regexp.Regexp
}

func compileHost(v *VirtualHost) (*host, []error) {
	h := &host{exact: map[string][]int32{}, starts: map[string][]int32{}}
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
		if r.Kind == Exact {
			h.exact[r.Path] = append(h.exact[r.Path], n)
			continue
		}
		if h.starts[start] == nil && !slices.Contains(h.lengths, len(start)) {
			h.lengths = append(h.lengths, len(start))
		}
		h.starts[start] = append(h.starts[start], n)
	}
	slices.Sort(h.lengths)
	return h, found
}

// compileRoute gives the route and what its path begins with, letter by letter.
func compileRoute(r *Route) (c compiled, start string, err error) {
	c.Route = r
	if len(r.Path) > MaxPattern {
		return c, "", fmt.Errorf("path: longer than %d bytes", MaxPattern)
	}
	switch r.Kind {
	case Prefix:
		start = r.Path
	case Exact:
		if r.Path == "" {
			return c, "", errors.New("path: is missing")
		}
	case Template:
		if c.template, start, err = compileTemplate(r.Path); err != nil {
			return c, "", fmt.Errorf("template: %w", err)
		}
	case Regex:
		if c.regex, err = whole(r.Path); err != nil {
			return c, "", fmt.Errorf("regex: %w", err)
		}
		start = literalStart(r.Path)
	default:
		return c, "", fmt.Errorf("path: kind %d is unknown", r.Kind)
	}
	if len(r.Headers) > MaxHeaders {
		return c, "", fmt.Errorf("headers: %d; %d at most", len(r.Headers), MaxHeaders)
	}
	for _, h := range r.Headers {
		if h.Name == "" || len(h.Name)+len(h.Value) > MaxPattern {
			return c, "", fmt.Errorf("header %q: no name, or too long", h.Name)
		}
		ch := compiledHeader{Header: h}
		ch.Name = canonical(h.Name)
		switch {
		case h.Kind == HeaderRegex:
			if ch.regex, err = whole(h.Value); err != nil {
				return c, "", fmt.Errorf("header %s: %w", h.Name, err)
			}
		case h.Kind > HeaderRegex:
			return c, "", fmt.Errorf("header %s: kind %d is unknown", h.Name, h.Kind)
		}
		c.headers = append(c.headers, ch)
	}
	for _, e := range []*Edits{r.Request, r.Response} {
		if e == nil {
			continue
		}
		if err := e.Check(); err != nil {
			return c, "", err
		}
	}
	if r.Answer != nil {
		if len(r.Clusters) > 0 || r.Answer.Status < 200 || r.Answer.Status > 599 {
			return c, "", fmt.Errorf("answer: %d with %d clusters", r.Answer.Status, len(r.Clusters))
		}
		return c, start, nil
	}
	if len(r.Clusters) == 0 || len(r.Clusters) > MaxClusters {
		return c, "", fmt.Errorf("clusters: %d; 1 to %d", len(r.Clusters), MaxClusters)
	}
	for _, w := range r.Clusters {
		if w.Cluster == "" {
			return c, "", errors.New("clusters: one has no name")
		}
		c.total += uint64(w.Weight)
		c.seeds = append(c.seeds, seed(w.Cluster))
	}
	if c.total == 0 && len(r.Clusters) > 1 {
		return c, "", errors.New("clusters: the weights add up to 0")
	}
	return c, start, nil
}

// whole compiles an expression that has to match from end to end, as Envoy's
// RegexMatcher does.
func whole(expr string) (*regexp.Regexp, error) {
	if expr == "" {
		return nil, errors.New("is missing")
	}
	if _, err := regexp.Compile(expr); err != nil { // or "a)(b" would be taken
		return nil, err
	}
	return regexp.Compile("^(?:" + expr + ")$")
}

// literalStart gives letters that every match begins with, maybe fewer than there are.
func literalStart(expr string) string {
	re, err := regexp.Compile(expr) // with an anchor it would give none
	if err != nil {
		return ""
	}
	start, _ := re.LiteralPrefix()
	return start
}
