// Package demo shows the program's main work in one go: the program runs on files that the demo writes, behind it
// endpoints on loopback that the demo starts, and clients send requests. One endpoint becomes slow, one drains, one
// dies and comes back. Each final answer is checked against what the endpoints saw.
//
//   - options.go: what is shown, and its result
//   - run.go: the run from start to end
//   - settings.go: the program's settings; endpointlist.go: the cluster's endpoints, in a file or by xDS
//   - program.go: the program, its file watcher and its control plane client
//   - phases.go: the phases under load; table.go: what they print; clients.go: the load
//   - rules.go: the rules that are checked
//   - proxy.go, tls.go: a proxy in front, keys that are replaced
//   - maintenance.go: a second demo, of a node in daily operation
//   - fleet.go, fleetnode.go: a third one, of nodes that agree on versions
package demo
