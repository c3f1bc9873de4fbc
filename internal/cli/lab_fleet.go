package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

// playFleet plays one day with real processes; false: a rule was broken, or the run says nothing.
func playFleet(ctx context.Context, out io.Writer, path string, draw int, seed uint64) (bool, error) {
	e, err := experiment(path)
	if err != nil {
		return false, err
	}
	if draw > 0 {
		e.Faults = fleet.Draw(seed, draw, e.Day.Nodes, e.Day.Servers, e.Day.Length)
		for _, f := range e.Faults {
			fmt.Fprintln(out, f)
		}
	}
	itself, err := os.Executable()
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
	processes, found, void, err := lab.Fleet(ctx, e, dir, []string{itself}, nil)
	if err != nil {
		return false, err
	}
	return printBeside(out, e, virtual, processes, found, void), nil
}
