package route

import "time"

// The limits of a table.
const (
	MaxRoutes           = 20000 // number of routes of all virtual hosts together
	MaxPatternBytes     = 1024  // length of a path, template or expression, and of a header condition's name and value together
	MaxClustersPerRoute = 64
	MaxHeadersPerRoute  = 16 // number of a route's conditions on header fields
)

// VirtualHost is the routes for requests to one or more domains.
type VirtualHost struct {
	Name string // for error messages
	// Domains are exact names, "*.example.org" (names with this suffix), "example.*" (names with this prefix) or "*" (all
	// names). If several domains match, an exact name goes before a suffix, a suffix before a prefix, a prefix before
	// "*", and a longer suffix or prefix before a shorter one. Case and the port of a request's host are ignored; a
	// lookup of a host with capital letters allocates memory.
	Domains []string
	Routes  []Route
}

// Route is conditions on requests, and where requests go that meet all of them.
type Route struct {
	Name    string // for error messages
	Kind    PathKind
	Path    string          // the path, prefix, template or expression, depending on Kind
	Methods []string        // the request's method must be one of these; empty: any method
	Headers []HeaderMatcher // the request must meet all of these conditions
	// Clusters share the route's requests by a stable hash, in proportion to their weights. A single cluster gets all
	// requests, whatever its weight; several clusters without a weight above 0 are an error.
	Clusters  []WeightedCluster
	Class     string
	Processor string // ProcessorForward or ProcessorPick; "": as in the program's settings
	// Timeout, MaxAttempts and PerTryTimeout limit the cluster's decisions (route.v3.RouteAction).
	Timeout       time.Duration // limit for the whole request; 0: the class's deadline
	MaxAttempts   int           // limit for the request's attempts, 1 or more; 0: the program's limit
	PerTryTimeout time.Duration // limit for one attempt; 0: no limit
	// DirectResponse is sent without a cluster, and Clusters must be empty; nil: the request goes to a cluster.
	DirectResponse *DirectResponse
	// RequestEdits and ResponseEdits change the header fields of the forwarded messages; nil: no changes.
	RequestEdits, ResponseEdits *HeaderEdits
}

// PathKind says how a route's path is compared (route.v3.RouteMatch.path_specifier).
type PathKind uint8

// The kinds of path matches.
const (
	PathPrefix   PathKind = iota // Path is a prefix of the request's path; "" matches every path
	PathExact                    // Path equals the request's path
	PathTemplate                 // Path is a template: {name} or * is one segment, ** the rest (path_match_policy, uri_template)
	PathRegex                    // Path is an RE2 expression that matches the request's complete path (safe_regex)
)

// The values of Route.Processor: how a request of a calling proxy (package extproc) is served.
const (
	ProcessorForward = "carry" // the request is forwarded for the proxy
	ProcessorPick    = "pick"  // the proxy gets the endpoint's address and sends the request itself
)

// WeightedCluster is a cluster with its share of a route's requests.
type WeightedCluster struct {
	Cluster string
	Weight  uint32 // share of the requests, relative to the sum of the route's weights
}
