package fleet

import (
	"fmt"
	"time"
)

// VersionRules are the parameters of CheckVersions. CheckVersions assumes that any two versions contradict each other on
// all classes that are not idempotent.
type VersionRules struct {
	Idempotent    []bool                         // by class: whether the class is idempotent
	NotIdempotent []bool                         // by class: whether a try may have at most one attempt
	Removed       func(version, server int) bool // whether a version lacks a server
	Grace         time.Duration                  // how long after a server's removal attempts may still arrive
	Slack         time.Duration                  // allowance between an action of a process and its observation
}

// Contradiction is the time for which processes acted on versions that contradict each other, as observed by servers.
type Contradiction struct {
	Longest      time.Duration // the longest time from the first attempt under a newer version to one under an older
	Count        int           // the number of attempts under a version after the first one under a newer version
	Worst        Event         // the late attempt that Longest was measured at
	NewerVersion int           // the version whose first attempt Worst followed
}

// versionCheck is the state of a CheckVersions call.
type versionCheck struct {
	rules         VersionRules
	class         map[string]int               // class by try ID
	process       map[string]int               // process by try ID
	attempts      map[string]int               // number of attempts by try ID
	firstUses     map[versionUse]time.Duration // time of the first attempt of a process under a version
	firstAttempts map[int]time.Duration        // time of the first attempt by version; without idempotent classes
	newest        int                          // highest version of an attempt so far
	removals      map[int]time.Duration        // time at which all processes were notified, by removed server
	contradiction Contradiction
	found         []Finding
}

// versionUse is a process and a version that it applied.
type versionUse struct{ process, version int }

// CheckVersions checks events, in order of time. It returns how long attempts under a version continued after the first
// attempt under a newer version, and the violations.
func CheckVersions(events []Event, rules VersionRules) (Contradiction, []Finding) {
	c := &versionCheck{
		rules:         rules,
		class:         map[string]int{},
		process:       map[string]int{},
		attempts:      map[string]int{},
		firstUses:     map[versionUse]time.Duration{},
		firstAttempts: map[int]time.Duration{},
		removals:      map[int]time.Duration{},
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case DrainAnnounced:
			if delete(c.removals, e.Party); !e.Ended {
				c.removals[e.Party] = e.At
			}
		case RequestSent:
			c.class[e.ID], c.process[e.ID] = e.Class, e.Party
		case AttemptArrived:
			c.checkAttempt(e)
		}
	}
	return c.contradiction, c.found
}

func (c *versionCheck) checkAttempt(e *Event) {
	class, known := c.class[e.ID]
	if !known || e.Version == 0 {
		c.add(finding(e, "an attempt of a try that no client sent, or without a version"))
		return
	}
	if c.attempts[e.ID]++; c.rules.NotIdempotent[class] && c.attempts[e.ID] > 1 {
		c.add(finding(e, "a second attempt of a try that is not idempotent"))
	}
	use := versionUse{c.process[e.ID], e.Version}
	if _, known := c.firstUses[use]; !known {
		c.firstUses[use] = e.At
	}
	if c.rules.Removed(e.Version, e.Party) && c.isLate(e, c.firstUses[use]) {
		c.add(timingFinding(e, fmt.Sprintf("an attempt at a server that version %d has removed", e.Version)))
	}
	if c.rules.Idempotent[class] { // a disconnected process may continue to serve idempotent classes
		return
	}
	if at, removed := c.removals[e.Party]; removed && c.isLate(e, at) {
		c.add(timingFinding(e, "an attempt at a server that was removed"))
	}
	c.measureContradiction(e)
}

// isLate reports whether an attempt arrived after the end of Grace, which starts at removedAt, and Slack.
func (c *versionCheck) isLate(e *Event, removedAt time.Duration) bool {
	return e.At > removedAt+c.rules.Grace+c.rules.Slack
}

// measureContradiction compares the time of an attempt with that of the first attempt under the next newer version that
// has had an attempt.
func (c *versionCheck) measureContradiction(e *Event) {
	if _, known := c.firstAttempts[e.Version]; !known {
		c.firstAttempts[e.Version] = e.At
	}
	c.newest = max(c.newest, e.Version)
	for newer := e.Version + 1; newer <= c.newest; newer++ {
		at, known := c.firstAttempts[newer]
		if !known {
			continue
		}
		worst := &c.contradiction
		if worst.Count++; e.At-at > worst.Longest {
			worst.Longest, worst.Worst, worst.NewerVersion = e.At-at, *e, newer
		}
		return
	}
}

func (c *versionCheck) add(f Finding) { c.found = append(c.found, f) }
