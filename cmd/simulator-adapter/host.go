package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"yokestall/internal/simulator"
	"yokestall/policy"
)

// host holds the instances; they share nothing but the reply's buffer.
type host struct {
	instances map[uint16]*policy.Balancer
	current   uint16
	named     bool
	reply     simulator.Reply
	event     simulator.Event
}

func (h *host) batch(b *simulator.Batch) error {
	h.named = false
	for i := range b.Count {
		if err := b.Event(i, &h.event); err != nil {
			return err
		}
		e := &h.event
		if e.Code == simulator.Instance {
			h.current, h.named = e.Instance, true
			h.reply.For(e.Instance)
			continue
		}
		if !h.named || (e.Code != simulator.Open && h.instances[h.current] == nil) {
			return fmt.Errorf("%w: batch %d, record %d: event %d for an instance never opened",
				simulator.ErrFormat, b.Number, i, e.Code)
		}
		h.handle(b, e)
	}
	return nil
}

// handle passes one event on. A panic in the module is reported as fatal.
func (h *host) handle(b *simulator.Batch, e *simulator.Event) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "simulator-adapter: batch %d: panic: %v\n%s", b.Number, p, debug.Stack())
			h.reply.Fatal(fmt.Sprintf("panic: %v", p))
		}
	}()
	inst := h.instances[h.current]
	switch e.Code {
	case simulator.Open:
		h.open(e)
	case simulator.Stop:
		delete(h.instances, h.current)
	case simulator.Members:
		inst.UpdateEndpoints(b.Now, e.Kind, e.Entries)
	case simulator.Request:
		inst.Request(b.Now, e.Request)
	case simulator.Started:
		inst.StreamStarted(b.Now, e.Outcome.ID, e.Outcome.Attempt)
	case simulator.Outcome:
		inst.Outcome(b.Now, e.Outcome)
	case simulator.Left:
		inst.ClientDisconnected(b.Now, e.Outcome.ID)
	case simulator.Timer:
		inst.Timer(b.Now, e.Token)
	}
}

func (h *host) open(e *simulator.Event) {
	settings, err := simulator.ParseSettings(e.Settings)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	inst, err := policy.New(settings, e.Seed, &h.reply)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	h.instances[h.current] = inst
}
