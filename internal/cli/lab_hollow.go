package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/lab/scale"
)

// newLabHollowCommand returns the hidden `lab hollow` command. Its process runs hollow nodes, which are nodes without
// traffic, and carries out the commands of the process that started it.
func newLabHollowCommand() *cobra.Command {
	path := ""
	var at scale.Placement
	c := &cobra.Command{
		Use:    "hollow",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if at.First < 0 || at.Count < 1 || at.Offset < 0 || at.Regions < 1 || at.Zones < 1 {
				return errors.New("--first and --before must be at least 0, and --count, --regions and --zones at least 1")
			}
			return runHollow(cmd.Context(), path, at, slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
		},
	}
	flags := c.Flags()
	flags.StringVarP(&path, "config", "c", "", "the nodes' own `file`")
	flags.IntVar(&at.First, "first", 0, "number of the first one among all hollow nodes")
	flags.IntVar(&at.Count, "count", 1, "how many")
	flags.IntVar(&at.Offset, "before", 0, "nodes of the fleet that are not hollow")
	flags.IntVar(&at.Regions, "regions", 1, "over which all are spread")
	flags.IntVar(&at.Zones, "zones", 1, "likewise")
	return c
}

// runHollow runs hollow nodes until standard input, from which it reads commands, is closed.
func runHollow(ctx context.Context, path string, at scale.Placement, log *slog.Logger) error {
	snapshot, err := files.Load(path)
	if err != nil {
		return err
	}
	p := snapshot.Program
	if !p.Agree.On() {
		return fmt.Errorf("%s: the section [fleet.agree] is missing, so this is no node of a fleet", path)
	}
	keys, err := openKeys(p, path, log)
	if err != nil {
		return err
	}
	base := fleetConfig(p, path, keys, log)
	meter, states := scale.NewMeter(base.Voters, at.Regions), scale.NewStates()
	hollow := scale.NewHollow(base, p, at, meter, states)
	defer hollow.Stop()
	if err := hollow.Start(ctx, false); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &scale.CommandServer{Meter: meter, States: states, Nodes: hollow}
	return c.Serve(ctx, os.Stdin, os.Stdout, exitOnDisconnect(stop))
}
