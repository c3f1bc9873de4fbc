// Package lab plays experiments. An experiment is a day of a fleet that a file describes. It is simulated in virtual time
// (internal/fleetsim) over several seeds, with the program or with a baseline as the decider, and outcomes are compared.
// The packages below lab play experiments in real time.
//
//   - experiment.go: Experiment
//   - experimentfile.go: the keys of an experiment file, and their defaults
//   - parser.go: Parse; dayparser.go, classparser.go and faultparser.go check and translate the file's sections
//   - size.go: an experiment at another number of nodes or servers, or at another load
//   - run.go: Run, and the deciders
//   - outcome.go, table.go: the outcome of a run, and its table and CSV output
//   - comparison.go: the difference in service between two outcomes
//   - recovery.go: the times until the service recovers after servers restart
package lab
