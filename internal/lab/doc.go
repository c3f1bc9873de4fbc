// Package lab plays experiments: a day of a fleet, described by a file, is played in virtual time (internal/fleetsim)
// over several seeds, beside other deciders, and compared with another one. Packages below it play days in real time.
//
//   - experiment.go: Experiment
//   - experimentfile.go: the keys of an experiment's file, and their defaults
//   - parser.go: Parse; dayparser.go, classparser.go and faultparser.go check the file's sections and translate them
//   - size.go: an experiment at another number of nodes and servers, and under another load
//   - run.go: Run, and the deciders
//   - outcome.go, table.go: the outcome of a run, and how it is printed
//   - comparison.go: the difference between two outcomes
//   - recovery.go: the time to recover from a power loss
package lab
