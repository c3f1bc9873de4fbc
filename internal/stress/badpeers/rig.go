// Package badpeers is a rig that puts the load balancer between clients and servers that attack it, or are many, or
// send much, and checks what comes of it, over every protocol that both sides speak. All of it runs in one process, on
// loopback, and ends by itself.
//
//	go run ./internal/stress/badpeers/run [-requests N] [-connections N] [-megabytes N] [-resets N]
//
// The files:
//
//   - rig.go: one run from start to end
//   - deployment.go: a load balancer with its server; program.go: its configuration
//   - mixedfaults.go, throughput.go, idle.go, resets.go: a scenario each
//   - usage.go: the process's memory and descriptors
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

// Options are the size of each scenario, which is left out at 0, and where the output goes.
type Options struct {
	Requests    int   // of all sizes, a tenth of them broken off by servers
	Connections int   // idle ones over HTTP/2
	Megabytes   int64 // through each pair of sides, each way
	Resets      int   // streams that are opened and reset at full speed
	Largest     int   // bytes of the largest body of Requests, 1 or more
	Out         io.Writer
	Log         *slog.Logger

	// OpenIdle opens the idle connections, for example in another process, which has descriptors of its own.
	// closeAll closes them. nil: the function OpenIdle, in this process.
	OpenIdle func(addr string, n int) (closeAll func() error, err error)
}

// Finding is a rule that was broken.
type Finding struct{ Scenario, What string }

// rig is the state of a run.
type rig struct {
	Options
	folder    string // of the keys
	authority *keymaker.Authority
	keys      *tlskeys.Store

	mu       sync.Mutex
	findings []Finding // at most maxFindings; guarded by mu while a scenario runs
}

// scenario is a part of a run.
type scenario struct {
	name    string
	enabled bool
	play    func(context.Context) (summary string, err error)
}

// Run plays the scenarios one after another and prints a line for each, with its findings. The error is one of the
// rig itself.
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
		// Before those that leave memory that is free but not returned to the system.
		{"bytes through", o.Megabytes > 0, r.throughput},
		{"idle connections", o.Connections > 0, r.idleConnections},
		{"rapid reset", o.Resets > 0, r.rapidReset},
	} {
		if !s.enabled {
			continue
		}
		if err := r.playScenario(ctx, s); err != nil {
			return r.findings, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return r.findings, nil
}

// makeKeys makes an authority and the certificates of both sides, and opens the load balancer's.
func (r *rig) makeKeys() (err error) {
	if r.authority, err = keymaker.New("the rig's authority"); err != nil {
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

// playScenario plays a scenario and prints its summary and findings.
func (r *rig) playScenario(ctx context.Context, s scenario) error {
	start, before := time.Now(), len(r.findings)
	summary, err := s.play(ctx)
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

// report adds a finding, unless there are maxFindings.
func (r *rig) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{What: fmt.Sprintf(format, args...)})
	}
}
