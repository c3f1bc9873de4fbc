// Package callers is a rig that puts the external processor between proxies that misbehave and servers that crash and
// drain, and checks the outcome of each request against what the servers received. All of it runs in one process, on
// loopback, and ends by itself.
//
//	go run ./internal/stress/callers/run [-requests N]
//
// It also compares the cost of the processor with that of one that does nothing:
//
//	go run ./internal/stress/callers/run -bench N
//
// The rig:
//
//   - rig.go: one run from start to end; program.go: its configuration
//   - faults.go: servers that drain and crash
//   - requests.go: the callers and what they send
//   - check.go: the rules that a run must not break
//
// The comparison:
//
//   - bench.go: its rounds and what it prints
//   - benchload.go: the load of a round; benchexchange.go: one exchange
//   - benchprocess.go: a processor's process, seen from the comparison
//   - benchserver.go: the program that runs in such a process
package callers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
)

// The cluster's servers. The first ones drain in turn, the others crash in turn.
const (
	drainingServers = 3
	crashingServers = 3
	clusterServers  = drainingServers + crashingServers
)

// noneDraining makes snapshot return one in which no server drains.
const noneDraining = -1

// Options are the size of a run and where its output goes.
type Options struct {
	Requests int
	Callers  int // at once, 1 or more
	Out      io.Writer
	Log      *slog.Logger
}

// Run plays a run and prints its counts and findings. Findings are the rules that were broken; the error is one of
// the rig itself.
func Run(ctx context.Context, o Options) (findings []string, err error) {
	r := &rig{Options: o, retryAllowed: map[string]bool{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	processor := r.newProcessor()
	running, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() {
		if err := r.app.ServeProcessor(running, listener, processor, r.program.ExtProc); err != nil {
			r.report("the processor ended: %v", err)
		}
	})
	r.injectFaults(running, &background)
	start := time.Now()
	err = r.sendRequests(ctx, listener.Addr().String())
	stop()
	background.Wait()
	if err != nil {
		return nil, err
	}
	r.check(processor)
	r.print(&processor.Stats, time.Since(start))
	return r.findings, nil
}

// rig is the state of a run.
type rig struct {
	Options
	program     *config.Program
	app         *app.App
	servers     []*appbox.Server // those of the cluster, and wrongServer last
	wrongServer *appbox.Server   // where a misbehaving proxy sends: in no snapshot

	// Requests by their outcome.
	served, rejected, failed, conflicts, disconnected atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	findings []string // at most maxFindings

	// retryAllowed has the idempotency keys of requests whose answer allows a retry, or that got none.
	retryAllowed map[string]bool

	// drainingSince is when the load balancer was notified that a server drains, by the index in servers; zero for
	// one that does not drain.
	drainingSince [clusterServers + 1]time.Time
}

// start starts the servers and the load balancer.
func (r *rig) start() (err error) {
	for i := range clusterServers + 1 {
		server, err := appbox.Start(fmt.Sprintf("box-%d", i))
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	r.wrongServer = r.servers[clusterServers]
	if r.program, err = config.ParseProgram("callers.toml", []byte(Program)); err != nil {
		return err
	}
	options := app.Options{Seed: 1, Log: r.Log, OnSend: r.checkSend}
	r.app, err = app.New(r.snapshot(noneDraining), options)
	return err
}

// close ends what start has started.
func (r *rig) close() {
	if r.app != nil {
		r.app.Close()
	}
	for _, server := range r.servers {
		server.Down()
	}
}

// newProcessor returns the processor under test. It reports endpoints that are picked after a request's deadline.
func (r *rig) newProcessor() *extproc.Server {
	processor := r.app.NewProcessor(r.program.ExtProc)
	processor.OnEndpointPicked = func(id, address string, left time.Duration) {
		if left <= 0 {
			r.report("%s was named %s %v after its time was up", id, address, -left)
		}
	}
	return processor
}

// snapshot returns a configuration in which one server, by its index, drains, or none with noneDraining.
func (r *rig) snapshot(draining int) *files.Configuration {
	c := &cluster.Config{Name: "rooms", ShrinkTo: cluster.ShrinkUnspecified}
	for i, server := range r.servers {
		if server == r.wrongServer {
			continue
		}
		endpoint := cluster.Endpoint{ID: server.Name, Address: server.Addr(), Weight: 1}
		if i == draining {
			endpoint.Health = cluster.Draining
		}
		c.Endpoints = append(c.Endpoints, endpoint)
	}
	return &files.Configuration{
		Program: r.program,
		Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}},
	}
}

// print writes the counts and findings of a run.
func (r *rig) print(s *extproc.Stats, took time.Duration) {
	fmt.Fprintf(r.Out, "%d requests in %.1f s: ", r.Requests, took.Seconds())
	fmt.Fprintf(r.Out, "%d answered by servers, %d refused, %d failed, %d conflicts, %d whose caller left\n",
		r.served.Load(), r.rejected.Load(), r.failed.Load(), r.conflicts.Load(), r.disconnected.Load())
	fmt.Fprintf(r.Out, "%d carried, %d picked with %d servers named; ",
		s.Forwarded.Load(), s.Picked.Load(), s.EndpointsPicked.Load())
	fmt.Fprintf(r.Out, "%d repeats answered, %d strays, %d never told\n",
		s.Duplicates.Load(), s.EndpointMismatches.Load(), s.UnreportedOutcomes.Load())
	for _, finding := range r.findings {
		fmt.Fprintln(r.Out, "broken:", finding)
	}
}
