// Package demo has demos of the load balancer. The main demo writes configuration files, starts endpoints and the load
// balancer on loopback, and sends requests from clients. One endpoint becomes slow, one drains, and one crashes and
// restarts. The demo checks the final answers against the requests that the endpoints received.
//
//   - options.go: the options and the result of the main demo
//   - run.go: the run from start to end
//   - settings.go: the settings of the load balancer; endpointlist.go: the endpoints of the cluster, in a file or by xDS
//   - program.go: the load balancer with its file watcher and its control plane client
//   - phases.go: the phases under load; table.go: the printed figures; clients.go: the load
//   - rules.go: the rules that are checked
//   - proxy.go, tls.go: a proxy with the external processor; TLS keys that are replaced
//   - maintenance.go: a second demo, which shows the maintenance of a node under load
//   - fleet.go, fleetnode.go: a third demo, which shows nodes that agree on versions
package demo
