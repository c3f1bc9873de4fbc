package demo

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/controlplane"
)

const (
	// defaultLatenessTolerance replaces an Options.LatenessTolerance of 0.
	defaultLatenessTolerance = 50 * time.Millisecond
	// responseDelay is the time that an endpoint takes to answer.
	responseDelay = 5 * time.Millisecond
	// maxPendingVersions is the maximum number of version signals that are buffered until the demo waits for a version.
	maxPendingVersions = 1024
)

// Run runs the demo. The error reports a failure of the demo itself. Violated rules are in the result.
//
// The load balancer, its file watcher and its control plane client run in goroutines, which end before Run returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	d := newDemo(o)
	defer d.close()
	if err := d.startEndpoints(); err != nil {
		return nil, err
	}
	options, err := d.writeSettings()
	if err != nil {
		return nil, err
	}
	served, err := d.startProgram(ctx, options)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(o.Out)
	if err := d.runPhases(ctx); err != nil {
		return nil, err
	}
	d.checkRules()
	d.printSummary()
	d.printOptionSummary()
	return &d.result, d.keepServing(ctx, served)
}

// demo is the state of a run.
type demo struct {
	Options
	closers []func() // functions that close calls in reverse order

	folder    string
	endpoints []*appbox.Server
	app       *app.App
	url       string // URL to which clients send requests

	processor *extproc.Server      // nil if clients send to the load balancer directly
	plane     *controlplane.Server // nil if the load balancer reads its clusters from files
	keys      *keyRotation         // nil if clients connect without TLS

	versions chan struct{} // receives a signal for each version that the load balancer has applied

	mu        sync.Mutex           // guards drainedAt and lateSends while clients run
	drainedAt map[string]time.Time // by endpoint name: time when the load balancer had applied the version with the drain
	lateSends map[string]int       // by endpoint name: number of attempts sent later than drainGrace after the drain

	counters counters
	result   Result
}

func newDemo(o Options) *demo {
	if o.LatenessTolerance == 0 {
		o.LatenessTolerance = defaultLatenessTolerance
	}
	return &demo{
		Options: o, versions: make(chan struct{}, maxPendingVersions),
		drainedAt: map[string]time.Time{}, lateSends: map[string]int{},
	}
}

// onClose registers a function that close calls. The functions are called in reverse order of registration.
func (d *demo) onClose(f func()) { d.closers = append(d.closers, f) }

// close stops everything that the demo has started.
func (d *demo) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// startEndpoints creates the directory of the demo and starts the endpoints.
func (d *demo) startEndpoints() error {
	folder, err := os.MkdirTemp("", "yokestall-demo-")
	if err != nil {
		return err
	}
	d.onClose(func() { os.RemoveAll(folder) })
	d.folder = folder
	for i := range d.Endpoints {
		e, err := appbox.Start(fmt.Sprintf("box-%d", i+1))
		if err != nil {
			return err
		}
		d.onClose(e.Down)
		d.endpoints = append(d.endpoints, e)
		e.SetDelay(responseDelay)
	}
	return nil
}

// keepServing leaves the load balancer running until ctx ends if Options.KeepServing is set. It returns the error if the
// load balancer ends by itself.
func (d *demo) keepServing(ctx context.Context, served <-chan error) error {
	if !d.KeepServing || ctx.Err() != nil {
		fmt.Fprintln(d.Out, "\nTo leave the load balancer running, use yokestall demo --keep, "+
			"which prints example curl commands.")
		return nil
	}
	fmt.Fprintf(d.Out, "\nServing until interrupted. Try\n    curl -i %s/hotels/7/rooms\n"+
		"    curl -i -H 'Idempotency-Key: k1' -d '{}' %s/hotels/7/bookings\n"+
		"and change the weight or the health of an endpoint in\n    %s\n",
		d.url, d.url, d.clusterFile())
	select {
	case <-ctx.Done():
		return nil
	case err := <-served:
		return err
	}
}
