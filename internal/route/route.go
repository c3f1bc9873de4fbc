package route

import "time"

// The bounds of a table.
const (
	MaxRoutes           = 20000 // over all virtual hosts
	MaxPatternBytes     = 1024  // bytes of a path, a pattern or an expression
	MaxClustersPerRoute = 64    // in one route
	MaxHeadersPerRoute  = 16    // conditions on headers in one route
)

// PathKind tells how a route's path is compared.
type PathKind uint8

// The kinds of a path match (route.v3.RouteMatch.path_specifier).
const (
	PathPrefix   PathKind = iota // the path begins with it; "/" or "" fits all
	PathExact                    // the path is it
	PathTemplate                 // {name} or * is one segment, ** what is left (path_match_policy, uri_template)
	PathRegex                    // the whole path matches it, RE2 syntax (safe_regex)
)

// HeaderKind tells how a header is compared.
type HeaderKind uint8

// The kinds of a condition on a header (route.v3.HeaderMatcher).
const (
	HeaderExact HeaderKind = iota
	HeaderPrefix
	HeaderSuffix
	HeaderContains
	HeaderPresent
	HeaderRegex // the whole value, RE2 syntax
)

// HeaderMatcher is a condition on a header. One with more than one value is compared as the
// values joined by commas, as Envoy does; such a look-up allocates.
type HeaderMatcher struct {
	Name   string // any case
	Kind   HeaderKind
	Value  string
	Invert bool
}

// WeightedCluster is a cluster with its share of a route's requests.
type WeightedCluster struct {
	Cluster string
	Weight  uint32 // relative to the sum over the route, which is above 0
}

// Route is a condition and where requests go that meet it.
type Route struct {
	Name    string // for messages
	Kind    PathKind
	Path    string
	Methods []string        // any of them; none given: any method
	Headers []HeaderMatcher // all of them
	// Clusters share the requests by a stable hash; one with any weight gets all.
	Clusters []WeightedCluster
	Class    string
	// Processor is how a calling proxy is served: "carry", "pick"; "": as the program has it.
	Processor string
	// Limits within which the cluster's decisions stay (route.v3.RouteAction).
	Timeout       time.Duration // of the whole request; 0: the class's deadline
	MaxAttempts   int           // 1 or more; 0: the program's
	PerTryTimeout time.Duration // of one attempt; 0: no such limit
	// DirectResponse is given in place of a cluster's; Clusters is empty then.
	DirectResponse *DirectResponse
	// RequestEdits and ResponseEdits are changed on their way; nil: they are not.
	RequestEdits, ResponseEdits *HeaderEdits
}

// VirtualHost is a list of routes for some domains.
type VirtualHost struct {
	Name string
	// Domains are exact, "*.example.org" (any such suffix), "example.*" (any such
	// prefix) or "*". Of those that fit, exact goes before suffix before prefix before
	// "*", and longer before shorter. The port of a request's host does not count.
	Domains []string
	Routes  []Route
}
