// Package badpeers is a stress test rig that runs the load balancer against faulty servers, clients that attack it,
// large numbers of connections and large amounts of data, and checks the results. Its scenarios cover every protocol of
// clients and servers. The rig runs on loopback, by default in a single process, and ends by itself.
//
//	go run ./internal/stress/badpeers/run [-requests N] [-connections N] [-megabytes N] [-resets N]
//
// The files:
//
//   - rig.go: a run from start to end
//   - deployment.go: a load balancer with its server; program.go: the configuration of the load balancer
//   - mixedfaults.go, throughput.go, idle.go, resets.go: one scenario in each file
//   - usage.go: the memory and file descriptors that the process uses
package badpeers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/tlskeys"
)

// maxFindings is the number of findings after which a run discards further ones.
const maxFindings = 20

// Options set the size of each scenario and the destination of the output. A scenario with size 0 is left out.
type Options struct {
	Requests    int   // number of requests with mixed faults; the server fails about a tenth of them
	Connections int   // number of idle HTTP/2 connections
	Megabytes   int64 // megabytes (MiB) sent in each direction over each protocol
	Resets      int   // number of streams that are opened and reset at full speed
	Largest     int   // largest response body in bytes of the requests with mixed faults, at least 1
	Out         io.Writer
	Log         *slog.Logger

	// OpenIdle opens n idle connections to addr, for example in another process with file descriptors of its own.
	// closeAll closes these connections. If OpenIdle is nil, the function OpenIdle opens them in this process.
	OpenIdle func(addr string, n int) (closeAll func() error, err error)
}

// Finding describes a violation of a rule in a scenario.
type Finding struct{ Scenario, What string }

// rig is the state of a run.
type rig struct {
	Options
	folder    string // directory of the keys and certificates
	authority *keymaker.Authority
	keys      *tlskeys.Store

	mu       sync.Mutex
	findings []Finding // at most maxFindings entries; guarded by mu while a scenario runs
}

// scenario is a part of a run.
type scenario struct {
	name    string
	enabled bool
	run     func(context.Context) (summary string, err error)
}

// Run runs the scenarios one after another and prints a line for each, followed by its findings. The error reports a
// failure of the rig itself, not a finding.
func Run(ctx context.Context, o Options) ([]Finding, error) {
	folder, err := os.MkdirTemp("", "yokestall-abuse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &rig{Options: o, folder: folder}
	if err := r.makeKeys(); err != nil {
		return nil, err
	}
	for _, s := range []scenario{
		{"mixed faults", o.Requests > 0, r.mixedFaults},
		// The throughput scenario runs before the scenarios that leave memory free but not returned to the system.
		{"bytes through", o.Megabytes > 0, r.throughput},
		{"idle connections", o.Connections > 0, r.idleConnections},
		{"rapid reset", o.Resets > 0, r.rapidReset},
	} {
		if !s.enabled {
			continue
		}
		if err := r.runScenario(ctx, s); err != nil {
			return r.findings, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return r.findings, nil
}

// makeKeys creates a certificate authority and the certificates of the load balancer and of the server, and opens the
// key store of the load balancer.
func (r *rig) makeKeys() (err error) {
	if r.authority, err = keymaker.New("certificate authority of the rig"); err != nil {
		return err
	}
	for _, name := range []string{frontName, serverName} {
		if err := r.authority.Write(r.folder, name, name); err != nil {
			return err
		}
	}
	r.keys, err = tlskeys.Open(r.folder, frontName, r.Log)
	return err
}

// runScenario runs a scenario and prints its summary and findings.
func (r *rig) runScenario(ctx context.Context, s scenario) error {
	start, before := time.Now(), len(r.findings)
	summary, err := s.run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.Out, "%-18s %s (%.1f s)\n", s.name, summary, time.Since(start).Seconds())
	for i := before; i < len(r.findings); i++ {
		r.findings[i].Scenario = s.name
		fmt.Fprintf(r.Out, "%-18s broken: %s\n", "", r.findings[i].What)
	}
	return nil
}

// report adds a finding. It discards the finding if the run has maxFindings already.
func (r *rig) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{What: fmt.Sprintf(format, args...)})
	}
}
