package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newHistoryCommand returns the `fleet history` command.
func (f *fleetCommands) newHistoryCommand() *cobra.Command {
	return f.newQueryCommand("history", "List the latest versions", f.printHistory)
}

// printHistory prints one line for each of the latest versions, with the version's state.
func (f *fleetCommands) printHistory(ctx context.Context, c *agent.Client) error {
	s, err := c.LatestStatus(ctx)
	if err != nil {
		return err
	}
	return f.print(s.History, func() {
		for _, v := range s.History {
			note := ""
			switch {
			case v.RefusalReason != "":
				note = ", refused: " + v.RefusalReason
			case v.Number == s.LogStatus.ActiveVersion:
				note = ", in force"
			case v.Number == s.LogStatus.PendingVersion:
				note = ", waits"
			}
			if v.Contradicts {
				note = ", contradicted what was in force" + note
			}
			fmt.Fprintf(f.out, "%d from %d, by %s, id %s%s\n", v.Number, v.Base, v.Proposer, v.ID, note)
		}
	})
}
