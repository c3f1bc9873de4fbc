package versions

import (
	"slices"
	"time"

	"yokestall/internal/fake/fleet"
)

const (
	// drainGrace is the time after a release takes a server out of use in which the server may still get attempts.
	drainGrace = 500 * time.Millisecond
	// observationSlack is the maximum time from a process's action until a server sees it, on a busy machine.
	observationSlack = 500 * time.Millisecond
)

// completeOutcome completes the outcome from the counts of requests and the checks of the run's record.
func (r *run) completeOutcome() {
	o := &r.outcome
	o.Bound = r.Lease.ActivationBound()
	o.Asked = int(r.requested.Load())
	o.Served = int(r.served.Load())
	o.Rejected = int(r.rejected.Load())
	o.Failed = int(r.failed.Load())
	slices.Sort(o.ActivationTimes)
	events := r.rig.Record.Events()
	var versionFindings, ownerFindings, orderFindings []fleet.Finding
	o.Contradiction, versionFindings = fleet.CheckVersions(events, r.rules())
	o.Owners, o.NoOwner, ownerFindings = fleet.CheckOwnerTokens(events)
	o.Answers, orderFindings = fleet.CheckOwnerOrder(events)
	o.Findings = slices.Concat(versionFindings, ownerFindings, orderFindings)
}

// rules returns the rules by which the record's versions are checked.
func (r *run) rules() fleet.VersionRules {
	rules := fleet.VersionRules{Removed: r.isDraining, Grace: drainGrace, Slack: observationSlack}
	for _, c := range classes {
		rules.Idempotent = append(rules.Idempotent, c.idempotent)
		rules.NotIdempotent = append(rules.NotIdempotent, !c.idempotent && !c.keyed)
	}
	return rules
}
