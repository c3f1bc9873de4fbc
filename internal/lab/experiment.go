package lab

import (
	"fmt"
	"strings"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
)

// tailFactor is the factor by which model.Spread multiplies a draw from its tail.
const tailFactor = 10

// Experiment is a day of a fleet, with the minimum service that it is expected to reach.
type Experiment struct {
	Name        string
	Description string
	Seed        uint64
	Day         fleetsim.Scenario
	MinService  float64       // minimum share of the requested weight that is earned, from 0 (no minimum) to 1
	Faults      []fleet.Fault // faults of processes and links; played on sockets only
}

// Load returns the average work of the day's requests as a share of the servers' capacity, at a load factor of 1.
func (e *Experiment) Load() float64 {
	work := 0.0
	for _, c := range e.Day.Classes {
		work += c.Rate * c.Work.Seconds() * (1 + (tailFactor-1)*c.Spread.TailProbability)
	}
	return work / (float64(e.Day.Servers*e.Day.ServerKind.Cores) * e.Day.ServerKind.Speed)
}

// FirstRestart returns the time of the first restart of servers that a fault takes down. ok is false if no server
// restarts within the day.
func (e *Experiment) FirstRestart() (at time.Duration, ok bool) {
	for _, t := range e.Day.Faults {
		restarts := t.Down && !t.Nodes && t.To < e.Day.Length
		if restarts && (!ok || t.To < at) {
			at, ok = t.To, true
		}
	}
	return at, ok
}

// Failures returns the violations of an outcome, and a line if its service is below MinService; nil if it passes.
func (e *Experiment) Failures(o *Outcome) []string {
	failures := o.Violations()
	if s := o.Service(); s < e.MinService {
		failures = append(failures, fmt.Sprintf("service is %.4f, but the expected minimum is %.4f", s, e.MinService))
	}
	return failures
}

// Summary describes the experiment in one line.
func (e *Experiment) Summary() string {
	d := &e.Day
	line := fmt.Sprintf("%s: %v, %d nodes, %d servers, load %.2f. %s",
		e.Name, d.Length, d.Nodes, d.Servers, e.Load(), e.Description)
	return strings.TrimSpace(line)
}
