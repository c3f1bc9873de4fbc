package sockets

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
)

// faultStep is one step of a fault: the fault begins or ends or, if publish is set, the endpoint list that shows this is
// published.
type faultStep struct {
	at      time.Duration
	fault   *fleetsim.Fault
	ends    bool
	publish bool
}

// faultSteps returns the steps of the experiment's faults of servers, ordered by time. Faults of nodes are left out.
func (r *run) faultSteps() []faultStep {
	day := &r.experiment.Day
	var steps []faultStep
	for i := range day.Faults {
		fault := &day.Faults[i]
		if fault.Nodes {
			continue
		}
		steps = append(steps,
			faultStep{at: fault.From, fault: fault},
			faultStep{at: fault.To, fault: fault, ends: true},
			faultStep{at: fault.From + day.ListDelay, fault: fault, publish: true},
			faultStep{at: fault.To + day.ListDelay, fault: fault, ends: true, publish: true},
		)
	}
	slices.SortStableFunc(steps, func(x, y faultStep) int { return int(x.at - y.at) })
	return steps
}

// playFaults plays the experiment's faults of servers at their times, until ctx ends. The end of ctx is not an error.
func (r *run) playFaults(ctx context.Context) error {
	for _, step := range r.faultSteps() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(r.began.Add(step.at))):
		}
		if err := r.playStep(step); err != nil {
			return err
		}
	}
	return nil
}

// playStep plays one step for all servers of its fault.
func (r *run) playStep(step faultStep) error {
	if step.publish {
		if err := r.deployment.publish(); err != nil {
			return err
		}
		r.notePublishedDrains()
		return nil
	}
	for slot := step.fault.First; slot <= step.fault.Last; slot++ {
		play := r.beginFault
		if step.ends {
			play = r.endFault
		}
		if err := play(step.fault, slot); err != nil {
			return err
		}
	}
	return nil
}

// beginFault begins a fault of the server in a slot.
func (r *run) beginFault(fault *fleetsim.Fault, slot int) error {
	s := r.serverAt(slot)
	switch {
	case fault.Down:
		s.box.Down()
	case fault.Drain:
		r.setDraining(s)
	default:
		s.box.SetFault(fault.Impairment)
	}
	return nil
}

// endFault ends a fault of the server in a slot. A server that was down starts again; a server that drained is replaced
// by a new one.
func (r *run) endFault(fault *fleetsim.Fault, slot int) error {
	s := r.serverAt(slot)
	switch {
	case fault.Down:
		if err := s.box.Up(); err != nil {
			return err
		}
		r.setStarted(s)
	case fault.Drain:
		s.box.Down()
		if err := r.startServer(slot, true); err != nil {
			return err
		}
		r.deployment.serverReplaced(slot)
	default:
		s.box.SetFault(model.Fault{})
	}
	return nil
}
