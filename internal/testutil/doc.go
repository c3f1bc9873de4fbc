// Package testutil has helpers for the tests of several packages. No helper sleeps for a fixed time to find out whether an event
// occurs, and no helper reserves a port and releases it before the port is used.
//
//   - main.go: running a package's tests, and running the test's executable as the program under test
//   - wait.go: waiting for an event or a condition
//   - listen.go: loopback addresses that accept or refuse connections
//   - backend.go, gatedbackend.go: HTTP servers
//   - tcpserver.go: servers on TCP connections
//   - bodies.go: request and response bodies
//   - logs.go: the log of a program under test
//   - lateness.go: measuring how late this machine runs goroutines
//   - former.go: building programs of a former commit
package testutil
