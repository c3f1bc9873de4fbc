// Package model models the servers and the clients of a fleet. It is pure: time, as an offset from any start, and
// random numbers are passed in. A simulation drives it on virtual time; test doubles on sockets take their service
// times from it.
//
//   - spec.go: what a server is like, and what may be wrong with it
//   - server.go: a server that accepts and serves jobs
//   - forecast.go: what a server could do with a further job
//   - jobs.go: jobs, their outcomes and the order in which they end
//   - workmeter.go: the work that a server was sent of late
//   - workload.go: distributions, curves and arrivals
package model
