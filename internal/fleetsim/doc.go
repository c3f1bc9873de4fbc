// Package fleetsim simulates a fleet of nodes in virtual time, by discrete events: nodes that decide, each with a real
// policy.Balancer or with a baseline to compare it with; servers that behave by internal/model; and clients that retry.
// One scenario and one seed always give the same result, byte for byte.
//
//   - scenario.go: what is simulated
//   - simulation.go: Play, the run itself
//   - eventqueue.go: events by virtual time
//   - client.go: arrivals and the clients' own retries
//   - node.go: a node's decider, its starts and its crashes
//   - request.go: a request at a node, its attempts and its answer
//   - server.go: attempts and jobs at a server
//   - fault.go: faults of nodes and servers
//   - slowstartlease.go: leases of the budgets of servers that warm up
//   - decider.go, baselines.go, oracle.go: what decides for a node
//   - result.go: what is counted
package fleetsim
