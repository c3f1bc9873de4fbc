// Package callers is a stress test rig that runs the external processor between faulty proxies and servers that crash
// and drain, and checks the outcome of each request against the requests that the servers received. A run takes place in
// a single process, on loopback, and ends by itself.
//
//	go run ./internal/stress/callers/run [-requests N]
//
// The package also compares the cost of the external processor with that of an empty processor, which answers CONTINUE:
//
//	go run ./internal/stress/callers/run -bench N
//
// The rig:
//
//   - rig.go: a run from start to end; program.go: the configuration of the load balancer
//   - faults.go: servers that drain and crash
//   - requests.go: the callers and what they send
//   - check.go: the rules that a run must not violate
//
// The comparison:
//
//   - bench.go: the rounds of the comparison and the output
//   - benchload.go: the load of a round; benchexchange.go: one exchange
//   - benchprocess.go: control and measurement of a child process that runs a processor
//   - benchserver.go: the code that runs in such a child process
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

// Numbers of servers in the cluster. The first drainingServers of them drain in turn, the others crash in turn.
const (
	drainingServers = 3
	crashingServers = 3
	clusterServers  = drainingServers + crashingServers
)

// noneDraining is the argument of snapshot for a configuration in which no server is draining.
const noneDraining = -1

// Options set the size of a run and the destination of the output.
type Options struct {
	Requests int
	Callers  int // number of concurrent callers, at least 1
	Out      io.Writer
	Log      *slog.Logger
}

// Run sends o.Requests requests while servers drain and crash, and prints counts of the outcomes and the findings. A
// finding describes a violated rule. The error reports a failure of the rig itself.
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
			r.report("external processor failed: %v", err)
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
	servers     []*appbox.Server // the servers of the cluster, followed by wrongServer
	wrongServer *appbox.Server   // server outside the cluster, to which faulty proxies send requests

	// Counts of requests by outcome.
	served, rejected, failed, conflicts, disconnected atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	findings []string // at most maxFindings entries

	// retryAllowed contains the idempotency key of each request that got no answer or an answer that allows a retry.
	retryAllowed map[string]bool

	// drainingSince holds, by index in servers, the time at which the load balancer was notified that the server is
	// draining. The time is zero for a server that is not draining.
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

// close stops the load balancer and the servers that start has started.
func (r *rig) close() {
	if r.app != nil {
		r.app.Close()
	}
	for _, server := range r.servers {
		server.Down()
	}
}

// newProcessor returns the processor under test. The rig reports each endpoint that the processor picks after the
// deadline of the request.
func (r *rig) newProcessor() *extproc.Server {
	processor := r.app.NewProcessor(r.program.ExtProc)
	processor.OnEndpointPicked = func(id, address string, left time.Duration) {
		if left <= 0 {
			r.report("request %s: endpoint %s was picked %v after the deadline", id, address, -left)
		}
	}
	return processor
}

// snapshot returns a configuration in which the server with the index draining is draining, or no server if draining is
// noneDraining.
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
	fmt.Fprintf(r.Out, "%d answered by servers, %d rejected, %d failed, %d conflicts, %d with a client disconnected\n",
		r.served.Load(), r.rejected.Load(), r.failed.Load(), r.conflicts.Load(), r.disconnected.Load())
	fmt.Fprintf(r.Out, "%d forwarded, %d in pick mode with %d endpoints picked; ",
		s.Forwarded.Load(), s.Picked.Load(), s.EndpointsPicked.Load())
	fmt.Fprintf(r.Out, "%d duplicates answered, %d endpoint mismatches, %d outcomes never reported\n",
		s.Duplicates.Load(), s.EndpointMismatches.Load(), s.UnreportedOutcomes.Load())
	for _, finding := range r.findings {
		fmt.Fprintln(r.Out, "broken:", finding)
	}
}
