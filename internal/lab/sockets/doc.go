// Package sockets plays an experiment of package lab in real time: clients and servers on loopback sockets, with the
// program under test between them. RunInProcess runs the program in this process. RunProcesses runs a process of the
// program for each node, and faults affect the processes and their links.
//
//   - inprocess.go, processes.go: the two entry points, each with its deployment of the program
//   - run.go: the state that all parts of a run share, and its load
//   - servers.go: the servers and the endpoint list
//   - faults.go: the faults of servers
//   - client.go: a client's request, with its own retries
//   - record.go: the events that servers record, and the rules by which the record is checked
//   - result.go: the result, from the counts of clients and servers
//   - programfile.go: the program's configuration file for an experiment
package sockets
