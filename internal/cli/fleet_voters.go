package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

func (f *fleetCommands) voters() *cobra.Command {
	return f.report("voters", "List the voters and whether each votes", func(ctx context.Context, c *agent.Client) error {
		list := c.Status(ctx)
		return f.print(list, func() {
			for _, a := range list {
				switch {
				case a.Status == nil:
					fmt.Fprintf(f.out, "%s does not answer\n", a.Voter)
				case !a.Status.Voter:
					fmt.Fprintf(f.out, "%s doesn't vote\n", a.Voter)
				case a.Status.Leader == a.Voter:
					fmt.Fprintf(f.out, "%s leads\n", a.Voter)
				default:
					fmt.Fprintf(f.out, "%s votes\n", a.Voter)
				}
			}
		})
	})
}
