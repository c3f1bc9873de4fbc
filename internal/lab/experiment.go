package lab

import (
	"fmt"
	"strings"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
)

// tailFactor is how many times as long the draws in the tail of a model.Spread are.
const tailFactor = 10

// Experiment is a day of a fleet, with the service that is expected of it.
type Experiment struct {
	Name        string
	Description string
	Seed        uint64
	Day         fleetsim.Day
	MinService  float64       // share of the weight asked for that has to be earned; 0: any
	Faults      []fleet.Fault // of processes and their links, when played on sockets
}

// Load returns the share of the fleet's capacity that the day asks for on average, before the load's curve.
func (e *Experiment) Load() float64 {
	work := 0.0
	for _, c := range e.Day.Classes {
		work += c.Rate * c.Work.Seconds() * (1 + (tailFactor-1)*c.Spread.Tail)
	}
	return work / (float64(e.Day.Servers*e.Day.Kind.Cores) * e.Day.Kind.Speed)
}

// FirstRestart returns when the first of the servers that a fault takes down starts again; false: none does.
func (e *Experiment) FirstRestart() (at time.Duration, ok bool) {
	for _, t := range e.Day.Troubles {
		restarts := t.Down && !t.Nodes && t.To < e.Day.Length
		if restarts && (!ok || t.To < at) {
			at, ok = t.To, true
		}
	}
	return at, ok
}

// Failures returns what an outcome lacks of what the experiment expects; nil: nothing.
func (e *Experiment) Failures(o *Outcome) []string {
	failures := o.Violations()
	if s := o.Service(); s < e.MinService {
		failures = append(failures, fmt.Sprintf("service %.4f, at least %.4f is expected", s, e.MinService))
	}
	return failures
}

// Summary describes the experiment in a line.
func (e *Experiment) Summary() string {
	d := &e.Day
	line := fmt.Sprintf("%s: %v, %d nodes, %d servers, load %.2f. %s",
		e.Name, d.Length, d.Nodes, d.Servers, e.Load(), e.Description)
	return strings.TrimSpace(line)
}
