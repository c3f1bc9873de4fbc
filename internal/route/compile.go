package route

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// compiledRoute is a checked Route with its compiled conditions and the data for the choice of a cluster.
type compiledRoute struct {
	*Route
	regex        *regexp.Regexp // the path's expression, for PathRegex only
	template     []segment      // the path's template, for PathTemplate only
	headers      []compiledHeaderMatcher
	totalWeight  uint64   // sum of the weights of all clusters
	clusterSeeds []uint64 // clusterSeed of each cluster, by the cluster's index
}

// compileRoute checks and compiles a route. It also returns the literal prefix of the route's path, "" for PathExact.
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

// compilePath checks and compiles the path, and returns the path's literal prefix, "" for PathExact.
func (c *compiledRoute) compilePath() (prefix string, err error) {
	if len(c.Path) > MaxPatternBytes {
		return "", fmt.Errorf("path: longer than the limit of %d bytes", MaxPatternBytes)
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
	return "", fmt.Errorf("path: match kind %d is unknown", c.Kind)
}

// compileHeaders checks and compiles the conditions on header fields.
func (c *compiledRoute) compileHeaders() error {
	if len(c.Headers) > MaxHeadersPerRoute {
		return fmt.Errorf("headers: %d conditions on header fields, at most %d are allowed", len(c.Headers), MaxHeadersPerRoute)
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

// checkDirectResponse checks a route with a direct response, which must have a valid status and may have no clusters.
func (c *compiledRoute) checkDirectResponse() error {
	if status := c.DirectResponse.Status; len(c.Clusters) > 0 || status < 200 || status > 599 {
		return fmt.Errorf("answer: direct response with status %d and %d clusters, want status 200 to 599 and no cluster",
			status, len(c.Clusters))
	}
	return nil
}

// compileClusters checks the weighted clusters and calculates totalWeight and clusterSeeds.
func (c *compiledRoute) compileClusters() error {
	if len(c.Clusters) == 0 || len(c.Clusters) > MaxClustersPerRoute {
		return fmt.Errorf("clusters: %d in the route, must be 1 to %d", len(c.Clusters), MaxClustersPerRoute)
	}
	for _, w := range c.Clusters {
		if w.Cluster == "" {
			return errors.New("clusters: a cluster has no name")
		}
		c.totalWeight += uint64(w.Weight)
		c.clusterSeeds = append(c.clusterSeeds, clusterSeed(w.Cluster))
	}
	if c.totalWeight == 0 && len(c.Clusters) > 1 {
		return errors.New("clusters: the weights of several clusters add up to 0")
	}
	return nil
}

// compileFullMatch compiles an expression that has to match the complete text, as in Envoy's RegexMatcher.
func compileFullMatch(expr string) (*regexp.Regexp, error) {
	if expr == "" {
		return nil, errors.New("the expression is missing")
	}
	// The expression is also compiled alone, since the group below would make the invalid expression "a)(b" valid.
	if _, err := regexp.Compile(expr); err != nil {
		return nil, err
	}
	return regexp.Compile("^(?:" + expr + ")$")
}

// literalPrefix returns a prefix that all matches of an expression have, which is not always the longest such prefix. It
// is "" for an invalid expression.
func literalPrefix(expr string) string {
	re, err := regexp.Compile(expr) // without ^, because an anchored expression has no literal prefix
	if err != nil {
		return ""
	}
	prefix, _ := re.LiteralPrefix()
	return prefix
}

// matches reports whether a request with the given path, which has no query, meets the route's conditions. The caller has
// checked that the path equals the route's for PathExact, and that it begins with the route's literal prefix otherwise.
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
