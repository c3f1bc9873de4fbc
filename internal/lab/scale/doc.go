// Package scale runs a fleet of hollow nodes (the real control code without its workload) beside real voters, and
// measures what control costs: messages, bytes, memory and CPU time, and how they grow with the number of nodes.
//
//   - plan.go, planfile.go: a run's sizes and steps, and the file that gives them
//   - content.go: the configuration that the fleet agrees on
//   - play.go, steps.go: a run at all its sizes, step by step
//   - rig.go, rigfiles.go, member.go: the processes of one size, their files, and the pipe to each of them
//   - control.go: commands that a process of a run carries out
//   - hollow.go, states.go: hollow nodes, and the versions that nodes act on
//   - meter.go, conn.go, traffic.go, report.go: counted connections, the partition of regions, what a process uses
//   - measure.go, convergence.go: figures of what is used, and of the time until all nodes act on a version
//   - figures.go, slope.go, machine.go, print.go: the file of figures, fitted lines, the machine, a summary
package scale
