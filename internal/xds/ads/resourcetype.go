package ads

import "slices"

// Type is a resource type. The types are in the order of reference: a resource refers only to resources of later types.
type Type int

// The types that the machine follows.
const (
	Listener  Type = iota // envoy.config.listener.v3.Listener (LDS)
	Route                 // envoy.config.route.v3.RouteConfiguration (RDS)
	Cluster               // envoy.config.cluster.v3.Cluster (CDS)
	Endpoint              // envoy.config.endpoint.v3.ClusterLoadAssignment (EDS)
	TypeCount             // the number of types
)

var typeURLs = [TypeCount]string{
	Listener: "type.googleapis.com/envoy.config.listener.v3.Listener",
	Route:    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
	Cluster:  "type.googleapis.com/envoy.config.cluster.v3.Cluster",
	Endpoint: "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

var typeNames = [TypeCount]string{
	Listener: "listener",
	Route:    "route configuration",
	Cluster:  "cluster",
	Endpoint: "endpoints",
}

// URL returns the type URL, as the protocol uses it.
func (t Type) URL() string { return typeURLs[t] }

// String returns the name of the type in log events and errors.
func (t Type) String() string { return typeNames[t] }

// TypeByURL returns the type with a type URL, and whether the machine follows such a type.
func TypeByURL(url string) (Type, bool) {
	i := slices.Index(typeURLs[:], url)
	return Type(i), i >= 0
}

// listsAll reports whether a state-of-the-world response lists all resources of the type, so that a resource that is
// absent from the response has been removed (LDS and CDS only).
func (t Type) listsAll() bool { return t == Listener || t == Cluster }
