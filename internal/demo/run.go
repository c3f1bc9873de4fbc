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
	// defaultLatenessTolerance is Options.LatenessTolerance where that is 0.
	defaultLatenessTolerance = 50 * time.Millisecond
	// responseDelay is the time in which an endpoint answers.
	responseDelay = 5 * time.Millisecond
	// maxPendingVersions bounds the signals of versions that nobody waits for.
	maxPendingVersions = 1024
)

// Run runs the demo. The error says what kept it from running; rules that were broken are in the result.
//
// The program, its file watcher and its control plane client run in goroutines, which end before Run returns.
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

// demo is a run.
type demo struct {
	Options
	closers []func() // called in reverse order at the end

	folder    string
	endpoints []*appbox.Server
	app       *app.App
	url       string // that clients send to

	processor *extproc.Server      // nil: clients send to the program itself
	plane     *controlplane.Server // nil: the program reads its clusters from files
	keys      *keyRotation         // nil: clear text

	versions chan struct{} // a signal for each version that the program has taken

	mu        sync.Mutex           // guards drainedAt and lateSends while clients run
	drainedAt map[string]time.Time // by endpoint: when the program had taken the version with its drain
	lateSends map[string]int       // by endpoint: sends over drainGrace after its drain

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

// onClose has close call a function. The functions are called in reverse order.
func (d *demo) onClose(f func()) { d.closers = append(d.closers, f) }

// close ends what the demo has started.
func (d *demo) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// startEndpoints creates the demo's folder and starts the endpoints.
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

// keepServing leaves the program running until ctx ends, with Options.KeepServing. It returns the error with which the
// program ended by itself.
func (d *demo) keepServing(ctx context.Context, served <-chan error) error {
	if !d.KeepServing || ctx.Err() != nil {
		fmt.Fprintln(d.Out, "\nTo leave it running: yokestall demo --keep; "+
			"it prints the curl lines to send requests with.")
		return nil
	}
	fmt.Fprintf(d.Out, "\nServing on until interrupted. Try\n    curl -i %s/hotels/7/rooms\n"+
		"    curl -i -H 'Idempotency-Key: k1' -d '{}' %s/hotels/7/bookings\n"+
		"and change the weights or the health of a box in\n    %s\n",
		d.url, d.url, d.clusterFile())
	select {
	case <-ctx.Done():
		return nil
	case err := <-served:
		return err
	}
}
