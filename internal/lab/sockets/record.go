package sockets

import (
	"slices"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fake/modelbox"
	"yokestall/policy"
)

// observationSlack is the maximum time from a process's decision until a server sees its effect, on a busy machine.
const observationSlack = 400 * time.Millisecond

// rules returns the rules by which the run's record is checked.
func (p *processes) rules() fleet.Rules {
	rules := fleet.Rules{DrainGrace: drainGrace, Slack: observationSlack}
	for _, c := range p.run.experiment.Day.Classes {
		rules.NotIdempotent = append(rules.NotIdempotent, c.Idempotency == policy.NotIdempotent)
	}
	rules.LinksDelay = slices.ContainsFunc(p.script, func(f fleet.Fault) bool { return f.DelaysDelivery() })
	return rules
}

// countArrivals returns the number of attempts that arrived at servers.
func countArrivals(events []fleet.Event) int64 {
	arrivals := int64(0)
	for _, e := range events {
		if e.Kind == fleet.AttemptArrived {
			arrivals++
		}
	}
	return arrivals
}

// observations maps the events of a modelled server to the kinds of the record's events.
var observations = map[modelbox.Event]fleet.EventKind{
	modelbox.Arrived:    fleet.AttemptArrived,
	modelbox.Completed:  fleet.EffectApplied,
	modelbox.Overloaded: fleet.ServerOverloaded,
}

// watch adds the events of a server to the record from now on.
func (p *processes) watch(s *server) {
	s.box.Watch(func(event modelbox.Event, requestID string) {
		p.rig.Record.Add(fleet.Event{Kind: observations[event], Party: s.serial, ID: requestID})
	})
}
