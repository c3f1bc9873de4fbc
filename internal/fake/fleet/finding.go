package fleet

import (
	"fmt"
	"time"
)

// Finding is a broken rule.
type Finding struct {
	Rule  string
	At    time.Duration
	ID    string
	Party int
	// Timing reports that the finding rests on the times of events. It is void if the machine was late itself.
	Timing  bool
	History []Event // of all tries of its request; only of the first findings
}

// String returns the finding in a line.
func (f Finding) String() string {
	return fmt.Sprintf("%v: %s (try %s, %d)", f.At.Round(time.Millisecond), f.Rule, f.ID, f.Party)
}

// finding is a finding at an event.
func finding(e *Event, rule string) Finding {
	return Finding{Rule: rule, At: e.At, ID: e.ID, Party: e.Party}
}

// timingFinding is a finding at an event that rests on its time.
func timingFinding(e *Event, rule string) Finding {
	f := finding(e, rule)
	f.Timing = true
	return f
}
