// Package testutil holds what the tests of several packages need. Nothing in it sleeps for a fixed time to see
// whether something happens, and no port is taken and given back.
//
//   - main.go: the run of a package's tests, and the test's executable as the program under test
//   - wait.go: waiting for an event or a condition
//   - listen.go: loopback addresses that accept or refuse connections
//   - backend.go: HTTP servers; tcpserver.go: servers on bare connections
//   - bodies.go: request and response bodies
//   - logs.go: the log of a program under test
//   - lateness.go: how late this machine runs goroutines
//   - former.go: programs of a former commit
package testutil
