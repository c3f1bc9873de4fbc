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
)

// faultFlags are the flags of `lab fleet`.
type faultFlags struct {
	count int // faults that are drawn; 0: the file's
	seed  uint64
}

// newLabFleetCommand makes `lab fleet`.
func newLabFleetCommand(out io.Writer) *cobra.Command {
	var f faultFlags
	c := &cobra.Command{
		Use:   "fleet FILE...",
		Short: "Play days with a real process of the program for each node, and the file's faults of processes and links",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return requireAll(paths, func(path string) (bool, error) { return playFleet(c.Context(), out, path, f) })
		},
	}
	c.Flags().IntVar(&f.count, "draw", 0, "draw `N` faults in place of the file's, and print them")
	c.Flags().Uint64Var(&f.seed, "faults", 1, "by this `seed`")
	return c
}

// playFleet plays one day with real processes; passed: no rule was broken, and the load generator was not late.
func playFleet(ctx context.Context, out io.Writer, path string, f faultFlags) (passed bool, err error) {
	e, err := loadExperiment(path)
	if err != nil {
		return false, err
	}
	if f.count > 0 {
		e.Faults = fleet.Draw(f.seed, f.count, e.Day.Nodes, e.Day.Servers, e.Day.Length)
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
	virtual, err := lab.Run(e, "virtual, no faults", fleetsim.Program, 1)
	if err != nil {
		return false, err
	}
	processes, found, void, err := lab.Fleet(ctx, e, dir, []string{executable}, nil)
	if err != nil {
		return false, err
	}
	return printBeside(out, e, virtual, processes, found, void), nil
}
