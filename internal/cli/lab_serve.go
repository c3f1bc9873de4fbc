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

// Bounds of --rate.
const (
	minClockRate = 0.5
	maxClockRate = 2
)

// labServe is `lab serve` with its flags: serve with a clock that is fast or slow, or controlled by the lab.
type labServe struct {
	path       string
	clockRate  float64 // of the leases' clock, to true time
	controlled bool
	placement  placement
}

// newLabServeCommand makes `lab serve`, for the lab's processes.
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

// run serves until ctx ends, or the commands of a controlled process do.
func (s *labServe) run(ctx context.Context, log *slog.Logger) error {
	if s.clockRate < minClockRate || s.clockRate > maxClockRate {
		return errors.New("--rate: from 0.5 to 2")
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

// placement says where a process of a run stands.
type placement struct {
	region  int // from 0
	regions int // over which the voters are spread
	zone    int // from 0
}

// addFlags adds the flags to a command.
func (p *placement) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&p.region, "region", 0, "in which the process stands, from 0")
	c.Flags().IntVar(&p.regions, "regions", 1, "over which the voters are spread")
	c.Flags().IntVar(&p.zone, "zone", 0, "in which the process stands, from 0")
}

// valid reports whether the region is one of the regions.
func (p *placement) valid() bool { return p.regions >= 1 && p.region >= 0 && p.region < p.regions }

// serveControlled serves under the command of the process that started this one, by standard input and output.
func serveControlled(
	ctx context.Context, path string, log *slog.Logger, at placement, clock func() time.Duration,
) error {
	snapshot, err := files.Load(path)
	if err != nil {
		return err
	}
	node := fleetConfig(snapshot.Program, path, nil, log)
	if node.Fleet == "" || !at.valid() {
		return fmt.Errorf("%s: a node of a fleet is controlled, in one of its regions", path)
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
			controlled <- c.Serve(ctx, os.Stdin, os.Stdout, exitAfter(stop))
		}()
	}
	if err := serve(ctx, path, log, serveOptions{ready: startControl, clock: clock, hooks: &hooks}); err != nil {
		return err
	}
	return <-controlled
}

// exitAfter returns what ends a process whose commands have ended: by stop, or if that takes longer than
// scale.ExitTimeout by an exit with code 1.
func exitAfter(stop context.CancelFunc) func() {
	return func() {
		stop()
		time.AfterFunc(scale.ExitTimeout, func() { os.Exit(1) })
	}
}
