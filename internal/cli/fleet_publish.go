package cli

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
)

// result is what a publish prints.
type result struct {
	ID string `json:"id"`
	*agent.PublishReply
	*agent.PublishOutcome
}

func (f *fleetCommands) publish() *cobra.Command {
	var o submission
	change := false
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Have the fleet take up a configuration: classes, limits, tenants, hosts, [fleet] figures and cluster files",
		Long: "FILE is a program's file with its cluster files; its listeners, keys and paths are not taken. --base names the version that it was\n" +
			"made from: if that is not the one in force, nothing is published and the difference is shown. The same --id again is the same publish.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if change {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				return f.submit(cmd.Context(), o, func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
					return c.PublishChange(ctx, id, base, config.File{Name: args[0], Text: text})
				})
			}
			list, err := files.Bundle(args[0])
			if err != nil {
				return err
			}
			return f.submit(cmd.Context(), o, func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
				return c.Publish(ctx, id, base, list)
			})
		},
	}
	o.flags(c)
	c.Flags().BoolVar(&change, "change", false, "FILE is a change of one cluster's list: a cluster file with change = true, and removed = [ids]")
	return c
}
