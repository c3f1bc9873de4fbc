// Package fleet runs many real processes of the program on loopback and injects faults into them. Each process has a
// folder of its own, each link between two parties passes through a relay that can drop, delay or reset traffic, and a
// fault script (a list of Fault values) says which processes are paused or killed and which links fail, and when.
// The checks use only the events that clients, servers and the rig recorded, and no internal state of the program.
//
//   - process.go, parent_linux.go, parent_other.go: start, pause and kill a process
//   - link.go, relay.go: the state of a link, and the relay that forwards connections according to that state
//   - rig.go, faultscript.go: the processes with their links, and the application of a fault script to them
//   - fault.go, randomfaults.go: faults, and random fault scripts
//   - record.go: the record of events of a run
//   - requestcheck.go, versioncheck.go, ownercheck.go: checks of the recorded events
//   - finding.go: the violations that the checks return
package fleet
