// Package state holds the resources of a control plane, and derives from them the clusters and the routes in force and
// the names that are subscribed to. It is pure: updates and the time in, versions out; no goroutine and no lock.
//
// Resources refer to one another (listener, route configuration, cluster, endpoints) and come in any order. What is in
// force stays until its replacement is complete (make before break): a cluster whose new endpoints have not come uses
// the former ones, which stay subscribed to until then; routes stay until the next ones have come. What the control
// plane removes by name is removed at once.
//
// state.go applies an update: routes.go selects the routes in force, clusters.go the endpoints of each cluster, and
// starttime.go infers when endpoints were started. subscriptions.go lists what is referred to.
package state
