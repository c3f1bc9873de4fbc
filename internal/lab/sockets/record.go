package sockets

import (
	"slices"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fake/modelbox"
	"yokestall/policy"
)

// observationSlack is how much later than a process's decision a server may see its effect, on a busy machine.
const observationSlack = 400 * time.Millisecond

// rules are what the run's record is judged by.
func (p *processes) rules() fleet.Rules {
	rules := fleet.Rules{DrainGrace: drainGrace, Slack: observationSlack}
	for _, c := range p.run.experiment.Day.Classes {
		rules.NotIdempotent = append(rules.NotIdempotent, c.Idempotency == policy.NotIdempotent)
	}
	rules.LinksDelay = slices.ContainsFunc(p.script, func(f fleet.Fault) bool { return f.DelaysDelivery() })
	return rules
}

// countArrivals returns how many attempts came to servers.
func countArrivals(events []fleet.Event) int64 {
	arrivals := int64(0)
	for _, e := range events {
		if e.Kind == fleet.AttemptArrived {
			arrivals++
		}
	}
	return arrivals
}

// observations are the record's names of what servers observe.
var observations = map[modelbox.Event]fleet.EventKind{
	modelbox.Arrived:    fleet.AttemptArrived,
	modelbox.Completed:  fleet.EffectApplied,
	modelbox.Overloaded: fleet.ServerOverloaded,
}

// watch records what a server observes.
func (p *processes) watch(s *server) {
	s.box.Watch(func(seen modelbox.Event, requestID string) {
		p.rig.Record.Add(fleet.Event{Kind: observations[seen], Party: s.serial, ID: requestID})
	})
}
