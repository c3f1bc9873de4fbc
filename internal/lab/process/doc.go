// Package process measures one real process of the program at a size that is given as data: what its configuration
// costs to check, to load, to store, to change and to route requests by, and how these costs grow with the size.
//
//   - plan.go, planfile.go: the sizes and steps of a run, and the file that gives them
//   - generate.go, write.go, request.go: the configuration of a size, its files, and the requests of the load
//   - measure.go, changes.go, figures.go: a run, step by step
//   - check.go: `yokestall check`, with what it uses
//   - served.go, replacefiles.go, load.go: a `yokestall serve` before fake servers, changes of its files, load on it
//   - usage.go: CPU time and memory of a process
//   - report.go, read.go, slope.go, machine.go: the file of figures, fitted lines, the machine
package process
