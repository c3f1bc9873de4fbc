// Package route finds the cluster and class of a request, in the order and with the
// meaning of Envoy's RouteConfiguration (envoy.config.route.v3): the virtual host whose
// domain fits best, and in it the first route that matches. It is pure; a look-up in a
// compiled Table allocates nothing.
package route
