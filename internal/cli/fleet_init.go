package cli

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newInitCommand returns the `fleet init` command.
func (f *fleetCommands) newInitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Make this node's store that of a voter of a new fleet, before its first start",
		Long: "Once on each voter, before it is started. A voter whose store was lost must not be made anew by it: " +
			"it would have forgotten\n" +
			"what it promised. It follows without a vote then.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return f.initVoter() },
	}
}

// initVoter initializes the store of the node as that of a voter. The node must be one of the configured voters.
func (f *fleetCommands) initVoter() error {
	config, err := f.agentConfig()
	if err != nil {
		return err
	}
	isVoter := slices.ContainsFunc(config.Voters, func(v agent.VoterAddress) bool { return v.Name == config.Name })
	if !isVoter {
		return fmt.Errorf("%s: voters: node %s is not one of them; only a voter's store is initialized", f.config, config.Name)
	}
	if err := agent.Init(config); err != nil {
		return err
	}
	fmt.Fprintf(f.out, "%s is a voter of the fleet %s\n", config.Name, config.Fleet)
	return nil
}
