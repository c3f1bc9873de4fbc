package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"yokestall/internal/simulator"
	"yokestall/policy"
)

// host runs the instances. They share nothing but the host's buffers for the reply and the decoded event.
type host struct {
	instances  map[uint16]*policy.Balancer
	current    uint16 // instance that the next events are for; not valid without hasCurrent
	hasCurrent bool   // the present batch has selected an instance
	reply      simulator.Reply
	event      simulator.Event
}

// handleBatch passes the events of a batch to the instances that the batch selects; the instances add their actions to the
// reply. The error wraps simulator.ErrFormat.
func (h *host) handleBatch(b *simulator.Batch) error {
	h.hasCurrent = false
	for i := range b.Count {
		if err := b.Event(i, &h.event); err != nil {
			return err
		}
		e := &h.event
		if e.Code == simulator.CodeSelectInstance {
			h.current, h.hasCurrent = e.Instance, true
			h.reply.SelectInstance(e.Instance)
			continue
		}
		if !h.hasCurrent || (e.Code != simulator.CodeOpenInstance && h.instances[h.current] == nil) {
			return fmt.Errorf("%w: batch %d, record %d: event of code %d is for an instance that is not open",
				simulator.ErrFormat, b.Number, i, e.Code)
		}
		h.handle(b, e)
	}
	return nil
}

// handle passes one event to the current instance. If the instance panics, the reply gets a fatal action and the stack is
// printed to standard error.
func (h *host) handle(b *simulator.Batch, e *simulator.Event) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "simulator-adapter: batch %d: panic: %v\n%s", b.Number, p, debug.Stack())
			h.reply.Fatal(fmt.Sprintf("panic: %v", p))
		}
	}()
	instance := h.instances[h.current]
	switch e.Code {
	case simulator.CodeOpenInstance:
		h.open(e)
	case simulator.CodeCloseInstance:
		delete(h.instances, h.current)
	case simulator.CodeEndpointUpdate:
		instance.UpdateEndpoints(b.Now, e.Kind, e.Endpoints)
	case simulator.CodeRequest:
		instance.Request(b.Now, e.Request)
	case simulator.CodeStreamStarted:
		instance.StreamStarted(b.Now, e.Outcome.ID, e.Outcome.Attempt)
	case simulator.CodeOutcome:
		instance.Outcome(b.Now, e.Outcome)
	case simulator.CodeClientDisconnected:
		instance.ClientDisconnected(b.Now, e.Outcome.ID)
	case simulator.CodeTimer:
		instance.Timer(b.Now, e.Token)
	}
}

// open creates the current instance, in place of a former one with the same number. If its settings are rejected, the
// reply gets a fatal action.
func (h *host) open(e *simulator.Event) {
	settings, err := simulator.ParseSettings(e.Settings)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	instance, err := policy.New(settings, e.Seed, &h.reply)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	h.instances[h.current] = instance
}
