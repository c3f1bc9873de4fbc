package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

func (f *fleetCommands) owners() *cobra.Command {
	return f.report("owners", "Say which node does each work on behalf of the fleet, by which token, and for how long its lease lasts", func(ctx context.Context, c *agent.Client) error {
		s, err := c.LatestStatus(ctx)
		if err != nil {
			return err
		}
		list := s.Tasks
		for _, a := range c.Status(ctx) { // the owner itself knows its lease
			for i := range list {
				if a.Status != nil && i < len(a.Status.Tasks) && a.Status.Tasks[i].Active && a.Status.Tasks[i].Token == list[i].Token {
					list[i] = a.Status.Tasks[i]
				}
			}
		}
		return f.print(list, func() {
			for _, o := range list {
				switch {
				case o.Owner == "":
					fmt.Fprintf(f.out, "%s: nobody; each node has an equal part\n", o.Task)
				case o.NextOwner != "":
					fmt.Fprintf(f.out, "%s: %s by token %d, and %s once that one can't act any more\n", o.Task, o.Owner, o.Token, o.NextOwner)
				case o.Active:
					fmt.Fprintf(f.out, "%s: %s by token %d, for %d ms\n", o.Task, o.Owner, o.Token, o.LeaseLeftMs)
				default:
					fmt.Fprintf(f.out, "%s: %s by token %d, without a lease at present\n", o.Task, o.Owner, o.Token)
				}
			}
		})
	})
}
