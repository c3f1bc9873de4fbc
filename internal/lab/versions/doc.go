// Package versions plays experiments in which real processes of the program agree on versions of their configuration while
// the processes are paused, killed and partitioned. Unless the experiment plays a release, every version contradicts every
// other version, so that the servers see when two processes act on different versions.
//
//   - versions.go: Experiment, Outcome and Play
//   - run.go: the state of a run, its processes and servers
//   - configuration.go: the processes' own configuration files, and the files of a version
//   - publish.go: publishes versions one after the other, and checks that no acknowledged version is lost
//   - release.go: plays a release instead of publishing versions
//   - load.go: requests to all processes
//   - ownership.go: polls of the voters for the owner of the release task
//   - judge.go: the outcome, with the checks of the run's record
package versions
