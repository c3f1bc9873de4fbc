package fleet

import (
	"fmt"
	"time"
)

// Finding is a violation of a rule that a check found.
type Finding struct {
	Rule  string
	At    time.Duration
	ID    string
	Party int
	// Timing reports that the finding depends on the times of events. Such a finding is void if the machine was
	// overloaded and delayed the events.
	Timing  bool
	History []Event // the events of all tries of the request; only the first findings have them
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%v: %s (try %s, process or server %d)", f.At.Round(time.Millisecond), f.Rule, f.ID, f.Party)
}

// finding returns a finding at an event.
func finding(e *Event, rule string) Finding {
	return Finding{Rule: rule, At: e.At, ID: e.ID, Party: e.Party}
}

// timingFinding returns a finding that depends on the time of its event.
func timingFinding(e *Event, rule string) Finding {
	f := finding(e, rule)
	f.Timing = true
	return f
}
