package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newVotersCommand returns the `fleet voters` command.
func (f *fleetCommands) newVotersCommand() *cobra.Command {
	return f.newQueryCommand("voters", "List the voters and whether each votes", f.printVoters)
}

// printVoters prints one line for each voter, with its role.
func (f *fleetCommands) printVoters(ctx context.Context, c *agent.Client) error {
	list := c.Status(ctx)
	return f.print(list, func() {
		for _, v := range list {
			switch {
			case v.Status == nil:
				fmt.Fprintf(f.out, "%s does not answer\n", v.Voter)
			case !v.Status.Voter:
				fmt.Fprintf(f.out, "%s doesn't vote\n", v.Voter)
			case v.Status.Leader == v.Voter:
				fmt.Fprintf(f.out, "%s leads\n", v.Voter)
			default:
				fmt.Fprintf(f.out, "%s votes\n", v.Voter)
			}
		}
	})
}
