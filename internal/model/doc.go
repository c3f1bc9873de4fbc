// Package model models the servers and the clients of a fleet. The package has no clock and no source of random numbers:
// callers pass in the time, as an offset from an arbitrary start, and a random number generator. Simulations use the model
// in virtual time. Test doubles on sockets take their service times from the model.
//
//   - spec.go: the properties and the faults of a server
//   - server.go: a server that accepts and serves jobs
//   - forecast.go: predictions of the wait of a further job and of free capacity
//   - jobs.go: jobs, their outcomes and the order of their completions
//   - workmeter.go: the work that a server was sent recently
//   - workload.go: distributions, curves and arrivals
package model
