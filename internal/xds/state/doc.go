// Package state holds the resources of a control plane, and derives from them the clusters and routes in force and the
// resource names to subscribe to. The package is pure: its inputs are updates and the time, its outputs are versions of
// clusters and routes. It uses no goroutine and no lock.
//
// Resources refer to one another (listener, route configuration, cluster, endpoints) and come in any order. A version
// in force stays until its replacement is complete (make before break): a cluster whose new endpoints have not come
// uses the former endpoints, which stay subscribed to until then, and routes stay in force until the next routes have
// come. A resource that the control plane removes by name is removed at once.
//
// state.go applies an update: routes.go selects the routes in force, clusters.go selects the endpoints of each cluster,
// and starttime.go infers the start times of endpoints. subscriptions.go lists the names to subscribe to.
package state
