package versions

import (
	"slices"
	"time"

	"yokestall/internal/fake/fleet"
)

const (
	drainGrace       = 500 * time.Millisecond // in which a server that a version has draining may still get requests
	observationSlack = 500 * time.Millisecond // between what a process did and what servers saw, on a busy machine
)

// judge completes the outcome from the run's record.
func (r *run) judge() {
	o := &r.outcome
	o.Bound = r.Lease.ActivationBound()
	o.Asked = int(r.asked.Load())
	o.Served = int(r.served.Load())
	o.Rejected = int(r.rejected.Load())
	o.Failed = int(r.failed.Load())
	slices.Sort(o.ActivationTimes)
	events := r.rig.Record.Events()
	var ofVersions, ofOwners, ofOrder []fleet.Finding
	o.Contradiction, ofVersions = fleet.JudgeVersions(events, r.rules())
	o.Owners, o.NoOwner, ofOwners = fleet.JudgeOwners(events)
	o.Answers, ofOrder = fleet.CheckOwners(events)
	o.Findings = slices.Concat(ofVersions, ofOwners, ofOrder)
}

// rules are what the record's versions are judged by.
func (r *run) rules() fleet.VersionRules {
	rules := fleet.VersionRules{Out: r.isDraining, Grace: drainGrace, Slack: observationSlack}
	for _, c := range classes {
		rules.Safe = append(rules.Safe, c.idempotent)
		rules.Unsafe = append(rules.Unsafe, !c.idempotent && !c.keyed)
	}
	return rules
}
