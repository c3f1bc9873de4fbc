package route

import "time"

// The limits of a table.
const (
	MaxRoutes           = 20000 // over all virtual hosts
	MaxPatternBytes     = 1024  // of a path, a pattern or an expression
	MaxClustersPerRoute = 64
	MaxHeadersPerRoute  = 16 // conditions on header fields
)

// VirtualHost is the routes of some domains.
type VirtualHost struct {
	Name string // for error messages
	// Domains are exact, "*.example.org" (any such suffix), "example.*" (any such prefix) or "*". Of those that match,
	// exact goes before suffix before prefix before "*", and longer before shorter. Case and the port of a request's
	// host do not count; a lookup of a host with capital letters allocates.
	Domains []string
	Routes  []Route
}

// Route is a condition on requests and where those go that meet it.
type Route struct {
	Name    string // for error messages
	Kind    PathKind
	Path    string
	Methods []string        // any of them; none given: any method
	Headers []HeaderMatcher // all of them
	// Clusters share the requests by a stable hash. Without a weight above 0, a single cluster gets all requests and
	// several are an error.
	Clusters  []WeightedCluster
	Class     string
	Processor string // ProcessorForward or ProcessorPick; "": the program's setting
	// Timeout, MaxAttempts and PerTryTimeout limit the cluster's decisions (route.v3.RouteAction).
	Timeout       time.Duration // of the whole request; 0: the class's deadline
	MaxAttempts   int           // 1 or more; 0: the program's limit
	PerTryTimeout time.Duration // of one attempt; 0: none
	// DirectResponse is sent in place of a cluster's response; Clusters is empty then.
	DirectResponse *DirectResponse
	// RequestEdits and ResponseEdits change the header fields of the forwarded messages; nil: they stay.
	RequestEdits, ResponseEdits *HeaderEdits
}

// PathKind says how a route's path is compared (route.v3.RouteMatch.path_specifier).
type PathKind uint8

// The kinds of a path match.
const (
	PathPrefix   PathKind = iota // the request's path begins with it; "/" and "" match all
	PathExact                    // the request's path equals it
	PathTemplate                 // {name} or * is one segment, ** all that remain (path_match_policy, uri_template)
	PathRegex                    // it matches the complete path of the request, RE2 syntax (safe_regex)
)

// How a calling proxy is served, by the values of the setting.
const (
	ProcessorForward = "carry" // its request is forwarded
	ProcessorPick    = "pick"  // it gets the endpoint's address and sends the request itself
)

// WeightedCluster is a cluster with its part of a route's requests.
type WeightedCluster struct {
	Cluster string
	Weight  uint32 // relative to the sum over the route
}
