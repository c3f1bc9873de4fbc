// Package cluster describes clusters of endpoints as immutable versions. It validates them and calculates the
// difference between two. The package reads no file and no clock. Configuration files, the platform's endpoint list and
// control planes are all converted to its types.
//
//   - endpoint.go: an endpoint and its health
//   - config.go: one version of a cluster, and all clusters at one time
//   - transport.go: how a cluster's endpoints are connected to
//   - limits.go: limits on a cluster's requests and connections
//   - validate.go: the validation of a cluster; problem.go: the error that it returns
//   - difference.go: the difference between two versions
//   - removals.go: the check that a version does not remove too many endpoints at once
//   - patch.go: a change to one cluster's list of endpoints
package cluster
