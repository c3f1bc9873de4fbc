package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/lab/sockets"
)

// faultFlags are the flags of `lab fleet`, which replace the faults of an experiment's file by random faults.
type faultFlags struct {
	count int    // number of random faults; 0: the file's faults are kept
	seed  uint64 // seed of the random faults
}

// newLabFleetCommand returns the `lab fleet` command.
func newLabFleetCommand(out io.Writer) *cobra.Command {
	var f faultFlags
	c := &cobra.Command{
		Use:   "fleet FILE...",
		Short: "Play days with a real process of the program for each node, and the file's faults of processes and links",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return runAll(paths, func(path string) (bool, error) { return runWithProcesses(c.Context(), out, path, f) })
		},
	}
	c.Flags().IntVar(&f.count, "draw", 0, "draw `N` faults in place of the file's, and print them")
	c.Flags().Uint64Var(&f.seed, "faults", 1, "by this `seed`")
	return c
}

// runWithProcesses runs one experiment in virtual time without faults, and with real processes and faults. passed says
// that the run with processes had no violations and that the load generator was not late.
func runWithProcesses(ctx context.Context, out io.Writer, path string, f faultFlags) (passed bool, err error) {
	e, err := loadExperiment(path)
	if err != nil {
		return false, err
	}
	if f.count > 0 {
		e.Faults = fleet.RandomFaults(f.seed, f.count, e.Day.Nodes, e.Day.Servers, e.Day.Length)
		for _, fault := range e.Faults {
			fmt.Fprintln(out, fault)
		}
	}
	executable, err := os.Executable()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "yokestall-fleet-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	virtual, err := lab.Run(e, "virtual, no faults", fleetsim.NewBalancer, 1)
	if err != nil {
		return false, err
	}
	processes, found, void, err := sockets.RunProcesses(ctx, e, dir, []string{executable}, nil)
	if err != nil {
		return false, err
	}
	return printSideBySide(out, e, virtual, processes, found, void), nil
}
