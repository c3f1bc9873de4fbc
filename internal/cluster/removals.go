package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// CheckRemovals compares a candidate version with the active version, which may be nil. It returns the joined *Problems
// of all clusters that would lose more than maxShare (0 to 1) of their serving endpoints at once, by removal or by
// draining, unless Config.ShrinkTo or Config.AllowEmpty says that this is on purpose. The loss of a single endpoint is
// always accepted if another serving endpoint remains. The loss of a cluster with serving endpoints is never accepted, since its
// file may be missing only until it is written again.
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

// checkRemovals returns the Problem of the cluster with the given name, or nil if there is none. after is nil if the
// candidate version does not have the cluster.
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
	acceptable := (lost == 1 && servingAfter > 0) || float64(lost) <= maxShare*float64(servingBefore)
	if lost == 0 || after != nil && acceptable {
		return nil
	}
	p := &Problem{Source: before.Source}
	p.Text = fmt.Sprintf(
		"cluster %s: %d of %d serving endpoints would be removed or drained at once, more than max_removed_share = %g allows",
		name, lost, servingBefore, maxShare)
	if after == nil {
		p.Text += "; to remove a cluster, first say no_servers = \"on purpose\" in [cluster]"
		return p
	}
	p.Source = after.Source
	p.Text += fmt.Sprintf("; if this is on purpose, set shrink_to = %d in the [cluster] table", len(after.Endpoints))
	return p
}

// countLost returns the number of serving endpoints that are removed or stop serving between two versions of a cluster.
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
