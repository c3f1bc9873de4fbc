// Package versions has real processes of the program agree on versions of their configuration while they are stopped,
// killed and cut off from each other. Unless a release is played, every version contradicts every other one, so that
// servers see when two processes act on different versions.
//
//   - versions.go: Experiment, Outcome and Play
//   - run.go: the state of a run, its processes and servers
//   - configuration.go: the processes' own files, and those of a version
//   - publish.go: versions, one after the other, and that none that was acknowledged is lost
//   - release.go: a release in place of versions
//   - load.go: requests to all processes
//   - ownership.go: which voter owns the releases
//   - judge.go: the outcome, from the run's record
package versions
