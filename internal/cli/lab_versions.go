package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/lease"
	"yokestall/internal/lab/versions"
)

// versionsApplyTimeout is how long a node of `lab versions` may take to apply a version.
const versionsApplyTimeout = 250 * time.Millisecond

// versionsRun holds the flags of `lab versions`.
type versionsRun struct {
	out       io.Writer
	options   versions.Experiment
	firstSeed uint64
	seeds     int // number of seeds, from firstSeed on
}

// newLabVersionsCommand returns the `lab versions` command, which runs processes that agree on versions while faults
// happen to some of the processes and their links.
func newLabVersionsCommand(out io.Writer) *cobra.Command {
	r := &versionsRun{
		out:     out,
		options: versions.Experiment{Lease: lease.Config{ApplyTimeout: versionsApplyTimeout}},
	}
	c := &cobra.Command{
		Use: "versions",
		Short: "Have real processes agree on versions that contradict each other, " +
			"while they are stopped, killed and cut off",
		Long: "Prints for each seed how long two processes acted on rules that contradict, as servers saw it, " +
			"beside the bound. Exits with 1 where\n" +
			"the bound was passed or a rule was broken, with the script of that seed. A seed replays its script.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.run(cmd.Context()) },
	}
	r.addFlags(c)
	return c
}

// addFlags registers the flags with the command.
func (r *versionsRun) addFlags(c *cobra.Command) {
	flags, o := c.Flags(), &r.options
	flags.IntVar(&r.seeds, "seeds", 3, "how `many`")
	flags.Uint64Var(&r.firstSeed, "first", 1, "the first `seed`")
	flags.IntVar(&o.Count, "versions", 20, "versions of a seed")
	flags.IntVar(&o.Faults, "faults", 6, "faults of a seed")
	flags.DurationVar(&o.Length, "length", 6*time.Second, "the time in which they befall")
	flags.IntVar(&o.Nodes, "nodes", 5, "processes")
	flags.IntVar(&o.Voters, "voters", 3, "of which so many vote")
	flags.IntVar(&o.Servers, "servers", 4, "stand-in servers")
	flags.Float64Var(&o.Rate, "rate", 150, "requests a second over all processes")
	flags.DurationVar(&o.Lease.Duration, "lease", 600*time.Millisecond, "of the nodes")
	flags.Float64Var(&o.Lease.MaxClockDrift, "drift", 0.1, "most that a clock may differ")
	flags.BoolVar(&o.Release, "release", false, "in place of versions have a release take each server out and back")
	flags.BoolVar(&o.PowerLoss, "power", false,
		"in place of drawn faults cut the power of all processes twice; they come back one by one")
	flags.BoolVar(&o.SkewClocks, "clocks", true, "give the processes clocks that are fast and slow by that much")
}

// run runs the experiment with each seed and returns ErrReported if a seed does not pass. The processes run this
// program's own executable.
func (r *versionsRun) run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	allPassed := true
	for i := range r.seeds {
		seed := r.firstSeed + uint64(i)
		passed, err := r.runSeed(ctx, seed, executable)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		allPassed = allPassed && passed
	}
	if !allPassed {
		return ErrReported
	}
	return nil
}

// runSeed runs the experiment with one seed and prints the outcome. passed says that no contradiction lasted longer than
// the bound and that there are no findings. A seed that does not pass is printed with its script of faults.
func (r *versionsRun) runSeed(ctx context.Context, seed uint64, executable string) (passed bool, err error) {
	options := r.options
	options.Seed = seed
	dir, err := os.MkdirTemp("", "yokestall-versions-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	o, err := versions.Play(ctx, options, dir, []string{executable}, nil)
	if err != nil {
		return false, err
	}
	printVersions(r.out, seed, o)
	passed = o.Longest <= o.Bound && len(o.Findings) == 0
	if !passed {
		fmt.Fprintln(r.out, "NOT HELD:", o.Findings, o.Worst)
		for _, fault := range o.Script {
			fmt.Fprint(r.out, fault)
		}
	}
	return passed, nil
}

// printVersions prints the outcome of one seed in one line.
func printVersions(out io.Writer, seed uint64, o *versions.Outcome) {
	fmt.Fprintf(out, "seed %d: %d versions, in force after %v (half) %v (99 %%); contradiction %v of %v (%d attempts); ",
		seed, o.Published, quantile(o.ActivationTimes, 0.5), quantile(o.ActivationTimes, 0.99),
		o.Longest.Round(time.Millisecond), o.Bound.Round(time.Millisecond), o.Count)
	fmt.Fprintf(out, "%d owners, none for %v at most (%d answers in one order); ",
		o.Owners, o.NoOwner.Round(time.Millisecond), o.Answers)
	fmt.Fprintf(out, "%d asked, %d served, %d refused, %d failed\n", o.Asked, o.Served, o.Rejected, o.Failed)
}

// quantile returns a quantile of times, which are in ascending order, rounded to milliseconds. It returns 0 if there are
// no times.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
}
