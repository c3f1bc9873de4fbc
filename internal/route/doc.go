// Package route finds the cluster and class of a request, in the order and with the meaning of Envoy's
// RouteConfiguration (envoy.config.route.v3): the virtual host whose domain fits best, and in it the first route that
// matches. The package does no I/O. A lookup in a compiled Table allocates no memory, except in the cases described at
// HeaderMatcher and VirtualHost.Domains.
//
//   - route.go declares virtual hosts and routes: conditions on requests, and where matching requests go
//   - edits.go and directresponse.go: changes to header fields, and responses without a cluster
//   - compile.go checks and compiles a route; template.go its path template, headers.go its header conditions
//   - table.go finds the route of a request: domains.go finds the virtual host, and host.go the route in it
//   - weighted.go picks one of a route's clusters
package route
