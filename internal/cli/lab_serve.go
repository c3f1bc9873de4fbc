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

// labServe is serve with a clock that is fast or slow, or under command, for the lab's processes.
func labServe() *cobra.Command {
	path, rate := "", 1.0
	controlled := false
	var at placement
	c := &cobra.Command{
		Use: "serve", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if rate < 0.5 || rate > 2 {
				return errors.New("--rate: from 0.5 to 2")
			}
			began := agent.BootTime()
			clock := func() time.Duration {
				return began + time.Duration(float64(agent.BootTime()-began)*rate)
			}
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			if controlled {
				return serveControlled(cmd.Context(), path, log, at, clock)
			}
			return serveBy(cmd.Context(), path, log, nil, clock, nil)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the program's `file`")
	c.Flags().Float64Var(&rate, "rate", rate, "of the clock for leases, to true time")
	c.Flags().BoolVar(&controlled, "controlled", false, "take commands on standard input, and end with them")
	at.flags(c)
	return c
}

// placement is where a process of a run stands, by its flags.
type placement struct{ region, regions, zone int }

func (p *placement) flags(c *cobra.Command) {
	c.Flags().IntVar(&p.region, "region", 0, "in which the process stands, from 0")
	c.Flags().IntVar(&p.regions, "regions", 1, "over which the voters are spread")
	c.Flags().IntVar(&p.zone, "zone", 0, "in which the process stands, from 0")
}

// serveControlled is serve under the command of the process that started this one.
func serveControlled(ctx context.Context, path string, log *slog.Logger, at placement, clock func() time.Duration) error {
	snap, err := files.Load(path)
	if err != nil {
		return err
	}
	own := fleetConfig(snap.Program, path, nil, log)
	if own.Fleet == "" || at.regions < 1 || at.region < 0 || at.region >= at.regions {
		return fmt.Errorf("%s: a node of a fleet is controlled, in one of its regions", path)
	}
	meter, states := scale.NewMeter(own.Voters, at.regions), scale.NewStates()
	states.Start(own.Name, at.region, at.zone)
	hooks := meter.Hooks(at.region)
	hooks.Applied = func(rules consensus.ActiveVersions, alone bool) { states.Acted(own.Name, rules, alone) }
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	controlled := make(chan error, 1)
	err = serveBy(ctx, path, log, func(net.Addr) {
		go func() {
			c := &scale.Controlled{Meter: meter, States: states}
			controlled <- c.Serve(ctx, os.Stdin, os.Stdout, ended(stop))
		}()
	}, clock, &hooks)
	if err != nil {
		return err
	}
	return <-controlled
}

// ended ends a process whose commands have ended: in good order, or else at once after a time.
func ended(stop context.CancelFunc) func() {
	return func() {
		stop()
		time.AfterFunc(scale.ExitWithin, func() { os.Exit(1) })
	}
}
