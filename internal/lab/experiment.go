package lab

import (
	"fmt"
	"strings"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
)

// Experiment is a file's day, with what is expected of it.
type Experiment struct {
	Name, Says string
	Seed       uint64
	Day        fleetsim.Day
	Service    float64       // the least that is expected
	Faults     []fleet.Fault // of processes and their links, when played on sockets
}

// Load is how much of the fleet's capacity the day asks for, on average.
func (e *Experiment) Load() float64 {
	work := 0.0
	for _, c := range e.Day.Classes {
		work += c.Rate * c.Work.Seconds() * (1 + 9*c.Spread.Tail)
	}
	return work / (float64(e.Day.Servers*e.Day.Kind.Cores) * e.Day.Kind.Speed)
}

// Return is when the first server that a power cut took is back; false: none is.
func (e *Experiment) Return() (at time.Duration, ok bool) {
	for _, t := range e.Day.Troubles {
		if t.Down && !t.Nodes && t.To < e.Day.Length && (!ok || t.To < at) {
			at, ok = t.To, true
		}
	}
	return at, ok
}

// Verdict gives what an experiment's outcome lacks; nil: it holds.
func (e *Experiment) Verdict(o *Outcome) (faults []string) {
	faults = o.Broken()
	if s := o.Service(); s < e.Service {
		faults = append(faults, fmt.Sprintf("service %.4f, at least %.4f is expected", s, e.Service))
	}
	return faults
}

// Summary says in a line what is played.
func (e *Experiment) Summary() string {
	d := &e.Day
	return strings.TrimSpace(fmt.Sprintf("%s: %v, %d nodes, %d servers, load %.2f. %s", e.Name, d.Length, d.Nodes, d.Servers, e.Load(), e.Says))
}
