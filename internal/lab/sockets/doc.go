// Package sockets plays an experiment of package lab in real time: clients and servers on loopback sockets, with the
// program under test between them. RunInProcess runs the program in this process, RunProcesses runs a process for each
// node, behind links that fail.
//
//   - inprocess.go, processes.go: the two entry points, each with its deployment of the program
//   - run.go: the state that all parts of a run share, and its load
//   - servers.go: the servers and the endpoint list
//   - faults.go: the experiment's faults of servers, at their times
//   - client.go: a client's request, with its own retries
//   - record.go: what servers record of processes, and the rules that it is judged by
//   - result.go: what clients and servers counted
//   - programfile.go: the program's configuration file for an experiment
package sockets
