// Package fleetsim is a discrete-event simulation, in virtual time, of a fleet of nodes. Each node has a decider, which is
// a real policy.Balancer or a baseline for comparison. The servers follow internal/model, and the clients retry. The same
// scenario and seed always give the same result, byte for byte.
//
//   - scenario.go: the description of a simulation
//   - simulation.go: Play, which runs a simulation
//   - eventqueue.go: the queue of events, ordered by virtual time
//   - client.go: arrivals of requests and retries by clients
//   - node.go: a node with its decider, and how it starts and is killed
//   - request.go: a request at a node, with its attempts and its answer
//   - server.go: attempts and jobs at a server
//   - fault.go: faults of nodes and servers
//   - slowstartlease.go: leases of the slow start budgets of servers that are warming up
//   - decider.go, baselines.go, oracle.go: the interface of deciders and the baselines
//   - result.go: the counts and measurements of a simulation
package fleetsim
