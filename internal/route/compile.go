package route

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// compiledRoute is a Route that was checked, with what its condition was compiled to.
type compiledRoute struct {
	*Route
	regex        *regexp.Regexp // for PathRegex
	template     []segment      // for PathTemplate
	headers      []compiledHeaderMatcher
	totalWeight  uint64   // of the clusters
	clusterSeeds []uint64 // by the index of the cluster
}

// compileRoute checks and compiles a route. It returns the literal prefix of its path too.
func compileRoute(r *Route) (c compiledRoute, prefix string, err error) {
	c.Route = r
	if prefix, err = c.compilePath(); err != nil {
		return c, "", err
	}
	if err := c.compileHeaders(); err != nil {
		return c, "", err
	}
	for _, edits := range []*HeaderEdits{r.RequestEdits, r.ResponseEdits} {
		if err := edits.Normalize(); err != nil {
			return c, "", err
		}
	}
	if r.DirectResponse != nil {
		err = c.checkDirectResponse()
	} else {
		err = c.compileClusters()
	}
	return c, prefix, err
}

// compilePath compiles the path and returns its literal prefix, "" for PathExact.
func (c *compiledRoute) compilePath() (prefix string, err error) {
	if len(c.Path) > MaxPatternBytes {
		return "", fmt.Errorf("path: longer than %d bytes", MaxPatternBytes)
	}
	switch c.Kind {
	case PathPrefix:
		return c.Path, nil
	case PathExact:
		if c.Path == "" {
			return "", errors.New("path: is missing")
		}
		return "", nil
	case PathTemplate:
		if c.template, prefix, err = compileTemplate(c.Path); err != nil {
			return "", fmt.Errorf("template: %w", err)
		}
		return prefix, nil
	case PathRegex:
		if c.regex, err = compileFullMatch(c.Path); err != nil {
			return "", fmt.Errorf("regex: %w", err)
		}
		return literalPrefix(c.Path), nil
	}
	return "", fmt.Errorf("path: kind %d is unknown", c.Kind)
}

// compileHeaders compiles the conditions on header fields.
func (c *compiledRoute) compileHeaders() error {
	if len(c.Headers) > MaxHeadersPerRoute {
		return fmt.Errorf("headers: %d; %d at most", len(c.Headers), MaxHeadersPerRoute)
	}
	for i := range c.Headers {
		m, err := compileHeader(&c.Headers[i])
		if err != nil {
			return err
		}
		c.headers = append(c.headers, m)
	}
	return nil
}

// checkDirectResponse checks a route that answers by itself.
func (c *compiledRoute) checkDirectResponse() error {
	if status := c.DirectResponse.Status; len(c.Clusters) > 0 || status < 200 || status > 599 {
		return fmt.Errorf("answer: %d with %d clusters", status, len(c.Clusters))
	}
	return nil
}

// compileClusters checks the weighted clusters and prepares the choice among them.
func (c *compiledRoute) compileClusters() error {
	if len(c.Clusters) == 0 || len(c.Clusters) > MaxClustersPerRoute {
		return fmt.Errorf("clusters: %d; 1 to %d", len(c.Clusters), MaxClustersPerRoute)
	}
	for _, w := range c.Clusters {
		if w.Cluster == "" {
			return errors.New("clusters: one has no name")
		}
		c.totalWeight += uint64(w.Weight)
		c.clusterSeeds = append(c.clusterSeeds, clusterSeed(w.Cluster))
	}
	if c.totalWeight == 0 && len(c.Clusters) > 1 {
		return errors.New("clusters: the weights add up to 0")
	}
	return nil
}

// compileFullMatch compiles an expression that has to match from end to end, as Envoy's RegexMatcher does.
func compileFullMatch(expr string) (*regexp.Regexp, error) {
	if expr == "" {
		return nil, errors.New("is missing")
	}
	// The group below would make a valid expression of "a)(b".
	if _, err := regexp.Compile(expr); err != nil {
		return nil, err
	}
	return regexp.Compile("^(?:" + expr + ")$")
}

// literalPrefix returns a prefix that all matches of a valid expression have, not always the longest.
func literalPrefix(expr string) string {
	re, err := regexp.Compile(expr) // an anchored expression has no literal prefix
	if err != nil {
		return ""
	}
	prefix, _ := re.LiteralPrefix()
	return prefix
}

// matches reports whether a request meets the route's condition, given that its path equals a PathExact route's path
// or begins with the literal prefix of another's.
func (c *compiledRoute) matches(r *Request, path string) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method) {
		return false
	}
	switch {
	case c.regex != nil && !c.regex.MatchString(path):
		return false
	case c.template != nil && !matchTemplate(c.template, path):
		return false
	}
	for i := range c.headers {
		if m := &c.headers[i]; m.compare(r.Header) == m.Invert {
			return false
		}
	}
	return true
}
