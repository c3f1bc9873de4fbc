// Package fleet is a rig of many real processes of the program on loopback. Each has a folder of its own, each link
// between two parties goes through a relay that can fail, and processes are paused and killed by a script that is data.
// What happened is checked by what the parties around the program recorded, without any knowledge of the program.
//
//   - process.go, parent_linux.go, parent_other.go: a process
//   - link.go, relay.go: the state of a link, and a relay that carries connections by it
//   - rig.go, faultscript.go: processes and links together, and faults on them by a script
//   - fault.go, randomfaults.go: faults, and random scripts of them
//   - record.go: what happened, as a list of events
//   - requestcheck.go, versioncheck.go, ownercheck.go: checks of such a list
//   - finding.go: what the checks return
package fleet
