package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/lab/scale"
)

// Bounds of --rate, the rate of the clock for leases relative to true time.
const (
	minClockRate = 0.5
	maxClockRate = 2
)

// labServe holds the flags of `lab serve`, which serves with a fast or slow clock, or under control of the lab.
type labServe struct {
	path       string  // path of the configuration file
	clockRate  float64 // rate of the clock for leases relative to true time; 1: true time
	controlled bool    // commands are read from standard input
	placement  placement
}

// newLabServeCommand returns the hidden `lab serve` command, which the lab's processes run.
func newLabServeCommand() *cobra.Command {
	var s labServe
	c := &cobra.Command{
		Use:    "serve",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.run(cmd.Context(), slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
		},
	}
	flags := c.Flags()
	flags.StringVarP(&s.path, "config", "c", "", "the program's `file`")
	flags.Float64Var(&s.clockRate, "rate", 1, "of the clock for leases, to true time")
	flags.BoolVar(&s.controlled, "controlled", false, "take commands on standard input, and end with them")
	s.placement.addFlags(c)
	return c
}

// run serves until ctx ends. A controlled process also ends when its standard input is closed.
func (s *labServe) run(ctx context.Context, log *slog.Logger) error {
	if s.clockRate < minClockRate || s.clockRate > maxClockRate {
		return errors.New("--rate is outside the allowed range from 0.5 to 2")
	}
	start := agent.BootTime()
	clock := func() time.Duration {
		return start + time.Duration(float64(agent.BootTime()-start)*s.clockRate)
	}
	if s.controlled {
		return serveControlled(ctx, s.path, log, s.placement, clock)
	}
	return serve(ctx, s.path, log, serveOptions{clock: clock})
}

// placement is the region and zone of a process of a run.
type placement struct {
	region  int // region of the process, from 0
	regions int // number of regions over which the voters are spread, at least 1
	zone    int // zone of the process, from 0
}

// addFlags registers the flags with a command.
func (p *placement) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&p.region, "region", 0, "in which the process stands, from 0")
	c.Flags().IntVar(&p.regions, "regions", 1, "over which the voters are spread")
	c.Flags().IntVar(&p.zone, "zone", 0, "in which the process stands, from 0")
}

// valid reports whether the process's region is one of the regions. It does not check the zone.
func (p *placement) valid() bool { return p.regions >= 1 && p.region >= 0 && p.region < p.regions }

// serveControlled serves and carries out the commands of the process that started this one. Commands come on standard
// input, replies go to standard output.
func serveControlled(
	ctx context.Context, path string, log *slog.Logger, at placement, clock func() time.Duration,
) error {
	snapshot, err := files.Load(path)
	if err != nil {
		return err
	}
	node := fleetConfig(snapshot.Program, path, nil, log)
	if node.Fleet == "" || !at.valid() {
		return fmt.Errorf("%s: --controlled needs a section [fleet.agree], and a --region from 0 to below --regions", path)
	}
	meter, states := scale.NewMeter(node.Voters, at.regions), scale.NewStates()
	states.Register(node.Name, at.region, at.zone)
	hooks := meter.Hooks(at.region)
	hooks.Applied = func(active consensus.ActiveVersions, disconnected bool) {
		states.Record(node.Name, active, disconnected)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	controlled := make(chan error, 1)
	startControl := func(net.Addr) {
		go func() {
			c := &scale.CommandServer{Meter: meter, States: states}
			controlled <- c.Serve(ctx, os.Stdin, os.Stdout, exitOnDisconnect(stop))
		}()
	}
	if err := serve(ctx, path, log, serveOptions{ready: startControl, clock: clock, hooks: &hooks}); err != nil {
		return err
	}
	return <-controlled
}

// exitOnDisconnect returns a function that ends this process once the process that controls it has disconnected. The
// function calls stop for a graceful shutdown. If that takes longer than scale.ExitTimeout, the process exits with code 1.
func exitOnDisconnect(stop context.CancelFunc) func() {
	return func() {
		stop()
		time.AfterFunc(scale.ExitTimeout, func() { os.Exit(1) })
	}
}
