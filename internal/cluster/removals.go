package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// CheckRemovals compares a candidate with the active version. It returns a Problem, joined, for each cluster that
// would lose more than maxShare (0 to 1) of its serving endpoints at once, by removal or by draining, unless
// Config.ShrinkTo or Config.AllowEmpty says that this is on purpose. A single endpoint may always go, unless it is the
// last. active may be nil.
func CheckRemovals(active, candidate *Version, maxShare float64) error {
	if active == nil {
		return nil
	}
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(active.Clusters)) {
		if p := checkRemovals(name, active.Clusters[name], candidate.Clusters[name], maxShare); p != nil {
			problems = append(problems, p)
		}
	}
	return errors.Join(problems...)
}

// checkRemovals returns the problem of the cluster with a name, nil if there is none. after is nil if the candidate has
// no such cluster.
func checkRemovals(name string, before, after *Config, maxShare float64) *Problem {
	if before == after {
		return nil
	}
	if after != nil && (after.AllowEmpty || after.ShrinkTo == len(after.Endpoints)) {
		return nil
	}
	servingBefore, servingAfter := before.countServing(), 0
	if after != nil {
		servingAfter = after.countServing()
	}
	lost := countLost(before, after)
	if lost == 0 || (lost == 1 && servingAfter > 0) || float64(lost) <= maxShare*float64(servingBefore) {
		return nil
	}
	p := &Problem{Source: before.Source}
	p.Text = fmt.Sprintf("cluster %s: %d of %d servers would go at once, more than %g of them",
		name, lost, servingBefore, maxShare)
	if after == nil {
		p.Text += "; to remove a cluster, first say no_servers = \"on purpose\" in [cluster]"
		return p
	}
	p.Source = after.Source
	p.Text += fmt.Sprintf("; if that is meant, say shrink_to = %d in [cluster]", len(after.Endpoints))
	return p
}

// countLost returns how many serving endpoints are removed or begin to drain.
func countLost(before, after *Config) int {
	d := Diff(before, after)
	lost := len(d.Draining)
	for i := range d.Removed {
		if d.Removed[i].Serves() {
			lost++
		}
	}
	return lost
}
