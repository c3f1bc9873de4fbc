package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newRollbackCommand returns the `fleet rollback` command.
func (f *fleetCommands) newRollbackCommand() *cobra.Command {
	var flags submitFlags
	c := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Have the fleet take up an earlier version again, as a new one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%q is not a version number: an unsigned decimal integer is required", args[0])
			}
			return f.submit(cmd.Context(), flags, rollbackTo(number))
		},
	}
	flags.add(c)
	return c
}

// rollbackTo returns a function that proposes an earlier version again, as a new version.
func rollbackTo(number uint64) proposeFunc {
	return func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
		return c.Rollback(ctx, id, base, number)
	}
}
