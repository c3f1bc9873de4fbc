package fleet

import (
	"fmt"
	"time"
)

// VersionRules are what CheckVersions checks by. Each version of the rules contradicts each other one on all classes
// that are not idempotent.
type VersionRules struct {
	Idempotent    []bool                         // by class
	NotIdempotent []bool                         // by class: at most one attempt of a try
	Removed       func(version, server int) bool // whether a server is not in a version
	Grace         time.Duration                  // after a server's removal, in which attempts may still come
	Slack         time.Duration                  // between what a process did and what others saw of it
}

// Contradiction is how long two processes acted on versions that contradict each other, as servers saw it.
type Contradiction struct {
	Longest      time.Duration
	Count        int   // attempts by a version after the first one by a newer version
	Worst        Event // the attempt of Longest
	NewerVersion int   // whose first attempt Worst came after
}

// versionCheck is the state of CheckVersions.
type versionCheck struct {
	rules         VersionRules
	class         map[string]int // by try
	process       map[string]int // by try
	attempts      map[string]int // by try
	firstUses     map[versionUse]time.Duration
	firstAttempts map[int]time.Duration // by version, of classes that are not idempotent
	newest        int
	removals      map[int]time.Duration // by server, when all processes got it
	contradiction Contradiction
	found         []Finding
}

// versionUse is the use of a version by a process.
type versionUse struct{ process, version int }

// CheckVersions checks events, in order of time. It returns how long attempts by a version went on after the first one
// by a newer version, and the rules that were broken.
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
		c.add(finding(e, "an attempt of what nobody asked, or by no rules"))
		return
	}
	if c.attempts[e.ID]++; c.rules.NotIdempotent[class] && c.attempts[e.ID] > 1 {
		c.add(finding(e, "an effect that happened twice"))
	}
	use := versionUse{c.process[e.ID], e.Version}
	if _, known := c.firstUses[use]; !known {
		c.firstUses[use] = e.At
	}
	if c.rules.Removed(e.Version, e.Party) && c.isLate(e, c.firstUses[use]) {
		c.add(timingFinding(e, fmt.Sprintf("an attempt at a server that version %d has out", e.Version)))
	}
	if c.rules.Idempotent[class] { // a process that is cut off may go on with these
		return
	}
	if at, removed := c.removals[e.Party]; removed && c.isLate(e, at) {
		c.add(timingFinding(e, "an attempt at a server that is out"))
	}
	c.measureContradiction(e)
}

// isLate reports whether an attempt came after the grace of a removal.
func (c *versionCheck) isLate(e *Event, removedAt time.Duration) bool {
	return e.At > removedAt+c.rules.Grace+c.rules.Slack
}

// measureContradiction compares an attempt with the first one by the next version that has any.
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
