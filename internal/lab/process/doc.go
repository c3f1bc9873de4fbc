// Package process measures one real process of the program with generated configurations of given sizes. It measures the CPU
// time, the wall time and the memory that are needed to check, load, store and change a configuration and to route requests by
// it, and how these costs grow with the size.
//
//   - plan.go, planfile.go: the sizes and steps of a run, and the file that defines them
//   - generate.go, write.go, request.go: the configuration of a size, its files, and the requests of the load
//   - measure.go, changes.go, figures.go: the steps of a run and their figures
//   - check.go: runs of `yokestall check` and the resources that they use
//   - served.go, replacefiles.go, load.go: a `yokestall serve` in front of fake servers, changes of its files, load on it
//   - usage.go: CPU time and memory of a process
//   - report.go, read.go, slope.go, machine.go: the report file, fitted lines, the description of the machine
package process
