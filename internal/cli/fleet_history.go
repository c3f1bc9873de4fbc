package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

func (f *fleetCommands) history() *cobra.Command {
	return f.report("history", "List the latest versions", func(ctx context.Context, c *agent.Client) error {
		s, err := c.LatestStatus(ctx)
		if err != nil {
			return err
		}
		return f.print(s.History, func() {
			for _, m := range s.History {
				note := ""
				switch {
				case m.RefusalReason != "":
					note = ", refused: " + m.RefusalReason
				case m.Number == s.LogStatus.ActiveVersion:
					note = ", in force"
				case m.Number == s.LogStatus.PendingVersion:
					note = ", waits"
				}
				if m.Contradicts {
					note = ", contradicted what was in force" + note
				}
				fmt.Fprintf(f.out, "%d from %d, by %s, id %s%s\n", m.Number, m.Base, m.Proposer, m.ID, note)
			}
		})
	})
}
