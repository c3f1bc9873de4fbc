// Package scale runs a fleet of hollow nodes, which run the real control code but carry no requests, together with real
// voters. It measures the cost of control traffic in messages, bytes, memory and CPU time, and how that cost grows with
// the number of nodes.
//
//   - plan.go, planfile.go: the sizes and steps of a run, and the plan's file that sets them
//   - content.go: the configuration that the voters replicate to all nodes
//   - play.go, steps.go: the execution of a run at each of its sizes, step by step
//   - rig.go, rigfiles.go, member.go: the processes of a run at one size, their files, and the pipes to each process
//   - control.go: the commands that a process of a run carries out
//   - hollow.go, states.go: the hollow nodes, and the versions that nodes act on
//   - meter.go, conn.go, traffic.go, report.go: connections with counters, the simulated partition between regions, and
//     the resources that a process uses
//   - measure.go, convergence.go: figures of resource use, and of the time until all nodes act on a version
//   - figures.go, slope.go, machine.go, print.go: the file of figures, the fitted lines, the properties of the machine,
//     and the printed summary
package scale
