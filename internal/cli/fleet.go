package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
)

// newFleetCommand returns the `fleet` command and its subcommands.
func newFleetCommand(out io.Writer, log *slog.Logger) *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "What the nodes of a fleet agree on: make one, publish versions, see who acts on what",
	}
	f := &fleetCommands{out: out, log: log}
	f.addFlags(c)
	c.AddCommand(
		newFleetDiffCommand(out),
		f.newInitCommand(),
		f.newStatusCommand(),
		f.newPublishCommand(),
		f.newRollbackCommand(),
		f.newHistoryCommand(),
		f.newVotersCommand(),
		f.newOwnersCommand(),
	)
	return c
}

// fleetCommands holds the output, the log and the flags that the commands that call a fleet's voters share.
type fleetCommands struct {
	out    io.Writer
	log    *slog.Logger
	config string // path of the configuration file of a node
	json   bool   // print JSON instead of text
}

// addFlags registers the flags that a command shares with its subcommands.
func (f *fleetCommands) addFlags(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVarP(&f.config, "config", "c", "",
		"the `file` of a node, whose [fleet.agree] names the fleet, its voters and the keys")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// agentConfig returns the agent configuration of the node whose configuration file is given by -c.
func (f *fleetCommands) agentConfig() (agent.Config, error) {
	if f.config == "" {
		return agent.Config{}, errors.New("flag -c is missing: the configuration file of a node of the fleet is required")
	}
	s, err := files.Load(f.config)
	if err != nil {
		return agent.Config{}, err
	}
	if !s.Program.Agree.On() {
		return agent.Config{}, fmt.Errorf("%s: the section [fleet.agree] is missing, so this is no node of a fleet", f.config)
	}
	keys, err := openKeys(s.Program, f.config, f.log)
	if err != nil {
		return agent.Config{}, err
	}
	return fleetConfig(s.Program, f.config, keys, f.log), nil
}

// withClient calls do with a client of the fleet's voters, and closes the client afterwards.
func (f *fleetCommands) withClient(do func(c *agent.Client) error) error {
	config, err := f.agentConfig()
	if err != nil {
		return err
	}
	c, err := agent.NewClient(config.Fleet, config.Voters, config.ClientTLS)
	if err != nil {
		return err
	}
	defer c.Close()
	return do(c)
}

// newQueryCommand returns a command without arguments that runs query, which asks the fleet and prints the answer.
func (f *fleetCommands) newQueryCommand(
	use, short string, query func(ctx context.Context, c *agent.Client) error,
) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withClient(func(c *agent.Client) error { return query(cmd.Context(), c) })
		},
	}
}

// print prints v as indented JSON if --json is set, and calls printText otherwise.
func (f *fleetCommands) print(v any, printText func()) error {
	if !f.json {
		printText()
		return nil
	}
	e := json.NewEncoder(f.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
