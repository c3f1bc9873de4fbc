// Package route finds the cluster and class of a request, in the order and with the meaning of Envoy's
// RouteConfiguration (envoy.config.route.v3): the virtual host whose domain fits best, and in it the first route that
// matches. It is pure; a lookup in a compiled Table allocates nothing, with the exceptions that HeaderMatcher and
// VirtualHost.Domains name.
//
// route.go declares what a route consists of: a condition on requests, and edits.go and directresponse.go what is done
// with those that meet it. compile.go checks and compiles a route, path templates in template.go and conditions on
// header fields in headers.go. host.go finds the route of a path in a virtual host, domains.go the virtual host of a
// name, table.go the route of a request; weighted.go picks among the clusters of a route.
package route
