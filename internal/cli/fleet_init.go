package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

func (f *fleetCommands) init() *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Make this node's store that of a voter of a new fleet, before its first start",
		Long: "Once on each voter, before it is started. A voter whose store was lost must not be made anew by it: it would have forgotten\n" +
			"what it promised. It follows without a vote then.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			of, err := f.of()
			if err != nil {
				return err
			}
			for _, v := range of.Voters {
				if v.Name == of.Name {
					if err := agent.Init(of); err != nil {
						return err
					}
					fmt.Fprintf(f.out, "%s is a voter of the fleet %s\n", of.Name, of.Fleet)
					return nil
				}
			}
			return fmt.Errorf("%s: voters: %s is not among them, and needs no init", f.config, of.Name)
		},
	}
}
