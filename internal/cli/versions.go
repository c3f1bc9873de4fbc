package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/lease"
	"yokestall/internal/lab/versions"
)

// labVersions plays processes that agree on versions while parts of them fail.
func labVersions(out io.Writer) *cobra.Command {
	v := versions.Experiment{Lease: lease.Config{ApplyTimeout: 250 * time.Millisecond}}
	first, seeds := uint64(1), 3
	c := &cobra.Command{
		Use:   "versions",
		Short: "Have real processes agree on versions that contradict each other, while they are stopped, killed and cut off",
		Long: "Prints for each seed how long two processes acted on rules that contradict, as servers saw it, beside the bound. Exits with 1 where\n" +
			"the bound was passed or a rule was broken, with the script of that seed. A seed replays its script.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			held := true
			for i := range seeds {
				v.Seed = first + uint64(i)
				ok, err := playVersions(cmd, out, v, self)
				if err != nil {
					return fmt.Errorf("seed %d: %w", v.Seed, err)
				}
				held = held && ok
			}
			if !held {
				return ErrReported
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&seeds, "seeds", seeds, "how `many`")
	f.Uint64Var(&first, "first", first, "the first `seed`")
	f.IntVar(&v.Count, "versions", 20, "versions of a seed")
	f.IntVar(&v.Faults, "faults", 6, "faults of a seed")
	f.DurationVar(&v.Length, "length", 6*time.Second, "the time in which they befall")
	f.IntVar(&v.Nodes, "nodes", 5, "processes")
	f.IntVar(&v.Voters, "voters", 3, "of which so many vote")
	f.IntVar(&v.Servers, "servers", 4, "stand-in servers")
	f.Float64Var(&v.Rate, "rate", 150, "requests a second over all processes")
	f.DurationVar(&v.Lease.Duration, "lease", 600*time.Millisecond, "of the nodes")
	f.Float64Var(&v.Lease.MaxClockDrift, "drift", 0.1, "most that a clock may differ")
	f.BoolVar(&v.Release, "release", false, "in place of versions have a release take each server out and back")
	f.BoolVar(&v.PowerLoss, "power", false, "in place of drawn faults cut the power of all processes twice; they come back one by one")
	f.BoolVar(&v.SkewClocks, "clocks", true, "give the processes clocks that are fast and slow by that much")
	return c
}

func playVersions(cmd *cobra.Command, out io.Writer, v versions.Experiment, self string) (held bool, err error) {
	dir, err := os.MkdirTemp("", "yokestall-versions-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	o, err := versions.Play(cmd.Context(), v, dir, []string{self}, nil)
	if err != nil {
		return false, err
	}
	at := func(share float64) time.Duration {
		if len(o.ActivationTimes) == 0 {
			return 0
		}
		return o.ActivationTimes[int(share*float64(len(o.ActivationTimes)-1))].Round(time.Millisecond)
	}
	fmt.Fprintf(out, "seed %d: %d versions, in force after %v (half) %v (99 %%); contradiction %v of %v (%d attempts); %d owners, none for %v at most (%d answers in one order); %d asked, %d served, %d refused, %d failed\n",
		v.Seed, o.Published, at(0.5), at(0.99), o.Longest.Round(time.Millisecond), o.Bound.Round(time.Millisecond), o.Count, o.Owners, o.NoOwner.Round(time.Millisecond), o.Answers, o.Asked, o.Served, o.Rejected, o.Failed)
	if held = o.Longest <= o.Bound && len(o.Findings) == 0; !held {
		fmt.Fprintln(out, "NOT HELD:", o.Findings, o.Worst)
		for _, f := range o.Script {
			fmt.Fprint(out, f)
		}
	}
	return held, nil
}

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
