package demo

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// slowDelay is the time that the slow endpoint takes to answer.
	slowDelay = 400 * time.Millisecond
	// versionTimeout is the maximum wait until the load balancer has applied a version of its endpoint list.
	versionTimeout = 10 * time.Second
	// rowsPerPhase is the number of lines of figures that a phase prints.
	rowsPerPhase = 2
)

// phase is a part of the demo. Most phases begin with a fault or with the end of a fault.
type phase struct {
	title string
	begin func(ctx context.Context) error // starts or ends the fault; nil if nothing changes
}

// phases returns the phases in the order in which they run.
func (d *demo) phases() []phase {
	slow, draining, dying := d.endpoints[0], d.endpoints[1], d.endpoints[2]
	return []phase{
		{"no faults", nil},
		{slow.Name + " answers in 400 ms", func(context.Context) error {
			slow.SetDelay(slowDelay)
			return nil
		}},
		{draining.Name + " drains, as set in the file", func(ctx context.Context) error {
			slow.SetDelay(responseDelay)
			return d.drain(ctx, draining.Name)
		}},
		{dying.Name + " dies", func(context.Context) error {
			dying.Down()
			return nil
		}},
		{dying.Name + " is back", func(context.Context) error { return dying.Up() }},
	}
}

// runPhases runs the phases under load and prints their figures. The clients have ended when runPhases returns.
func (d *demo) runPhases(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: d.Clients}
	if d.keys != nil {
		transport.TLSClientConfig, transport.ForceAttemptHTTP2 = d.keys.clientConfig(), true
	}
	defer transport.CloseIdleConnections()
	load, endLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer endLoad()
	for i := range d.Clients {
		clients.Go(func() { d.runClient(load, i, transport) })
	}
	for _, p := range d.phases() {
		if err := d.runPhase(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// runPhase begins a phase, waits for its length and prints its figures.
func (d *demo) runPhase(ctx context.Context, p phase) error {
	if p.begin != nil {
		if err := p.begin(ctx); err != nil {
			return err
		}
	}
	d.printHeader(p.title)
	for range rowsPerPhase {
		before := d.figures()
		select {
		case <-time.After(d.Phase / rowsPerPhase):
		case <-ctx.Done():
			return ctx.Err()
		}
		d.printRow(before)
	}
	return nil
}

// drain marks an endpoint as draining and waits until the load balancer has applied a new version.
func (d *demo) drain(ctx context.Context, name string) error {
	if err := d.writeEndpoints(map[string]string{name: healthDraining}); err != nil {
		return err
	}
	select {
	case <-d.versions:
	case <-time.After(versionTimeout):
		return errors.New("load balancer applied no new version of its endpoint list within 10 s")
	case <-ctx.Done():
		return ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainedAt[name] = time.Now()
	return nil
}
