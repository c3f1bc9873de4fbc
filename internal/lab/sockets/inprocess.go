package sockets

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/loadgen"
)

// drainGrace is the time after the publication of a server's drain in which attempts may still be sent to the server.
const drainGrace = 500 * time.Millisecond

// RunInProcess plays an experiment of one node on sockets: the program in this process, modelled servers, which take
// their service times from the model, and the load generator. void means that the load generator was late, so that the
// outcome is not valid.
func RunInProcess(ctx context.Context, e *lab.Experiment, log *slog.Logger) (o *lab.Outcome, void bool, err error) {
	if err := checkInProcess(e); err != nil {
		return nil, false, err
	}
	r, err := newRun(e)
	defer r.close()
	if err != nil {
		return nil, false, err
	}
	p := &inProcess{run: r}
	r.deployment = p
	stop, err := p.start(log)
	if err != nil {
		return nil, false, err
	}
	defer stop()
	plan := r.loadPlan()
	r.began = time.Now()
	faultsContext, cancelFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	var faultsErr error
	faults.Go(func() { faultsErr = r.playFaults(faultsContext) })
	report := loadgen.Run(ctx, plan)
	cancelFaults()
	faults.Wait()
	if faultsErr != nil {
		return nil, false, faultsErr
	}
	r.finish()
	return &lab.Outcome{Name: "on sockets", Seeds: []*fleetsim.Result{r.result}}, report.Invalid, ctx.Err()
}

// checkInProcess returns an error if an experiment can't be played in this process.
func checkInProcess(e *lab.Experiment) error {
	day := &e.Day
	if day.Servers > MaxServers || day.Nodes != 1 {
		return fmt.Errorf("%s: %d servers and %d nodes; the maximum on sockets is %d servers and one node",
			e.Name, day.Servers, day.Nodes, MaxServers)
	}
	if slices.ContainsFunc(day.Faults, func(t fleetsim.Fault) bool { return t.Nodes }) {
		return fmt.Errorf("%s: faults of nodes can't be played in one process; use lab fleet", e.Name)
	}
	return checkFaults(e)
}

// inProcess is the deployment of the program in this process.
type inProcess struct {
	run     *run
	app     *app.App
	program *config.Program
	url     string
}

// start starts the program on a free port of 127.0.0.1. stop ends the program and waits until it has ended.
func (p *inProcess) start(log *slog.Logger) (stop func(), err error) {
	e := p.run.experiment
	if p.program, err = config.ParseProgram("lab", []byte(programFile(e, "127.0.0.1:0", 0))); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Name, err)
	}
	if p.app, err = app.New(p.snapshot(), app.Options{Seed: e.Seed, Log: log, OnSend: p.countSend}); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.app.Close()
		return nil, err
	}
	p.url = "http://" + listener.Addr().String()
	serveContext, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { p.app.Serve(serveContext, listener) })
	return func() {
		p.run.transport.CloseIdleConnections()
		cancel()
		serving.Wait()
		p.app.Close()
	}, nil
}

// snapshot returns the program's configuration with the run's present endpoints.
func (p *inProcess) snapshot() *files.Configuration {
	c := &cluster.Config{Name: clusterName, ShrinkTo: -1, Endpoints: p.run.endpoints()}
	return &files.Configuration{
		Program: p.program,
		Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}},
	}
}

// countSend counts an attempt that is sent to an endpoint, also as an attempt after drain if drainGrace has passed since
// the endpoint's drain was published.
func (p *inProcess) countSend(_ string, endpointKey uint64, at time.Time) {
	r := p.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Attempts++
	s := r.slots[r.slotByKey[endpointKey]]
	if s.endpoint.Key() == endpointKey && !s.drainPublishedAt.IsZero() && at.After(s.drainPublishedAt.Add(drainGrace)) {
		r.result.AttemptsAfterDrain++
	}
}

// publish implements deployment. It applies a configuration with the present endpoints to the program.
func (p *inProcess) publish() error { return p.app.Apply(p.snapshot()) }

// drainPublished implements deployment. It does nothing, because countSend reads the run's own record of drains.
func (p *inProcess) drainPublished(int) {}

// serverReplaced implements deployment. It does nothing, because publish makes the new server's address known.
func (p *inProcess) serverReplaced(int) {}

// startAttempt implements deployment. All attempts go to the one program.
func (p *inProcess) startAttempt(ctx context.Context, _ int, _ string) (context.Context, string, func(int)) {
	return ctx, p.url, func(int) {}
}
