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

// newFleetCommand makes `fleet` and its subcommands.
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

// fleetCommands is what the commands that call a fleet's voters share.
type fleetCommands struct {
	out    io.Writer
	log    *slog.Logger
	config string // path of a node's file
	json   bool   // print JSON in place of text
}

// addFlags adds the flags that a command and its subcommands share.
func (f *fleetCommands) addFlags(c *cobra.Command) {
	flags := c.PersistentFlags()
	flags.StringVarP(&f.config, "config", "c", "",
		"the `file` of a node, whose [fleet.agree] names the fleet, its voters and the keys")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// agentConfig returns the configuration of the node whose file the flags name.
func (f *fleetCommands) agentConfig() (agent.Config, error) {
	if f.config == "" {
		return agent.Config{}, errors.New("-c FILE is missing: the file of a node of the fleet")
	}
	s, err := files.Load(f.config)
	if err != nil {
		return agent.Config{}, err
	}
	if !s.Program.Agree.On() {
		return agent.Config{}, fmt.Errorf("%s: has no [fleet.agree]", f.config)
	}
	keys, err := openKeys(s.Program, f.config, f.log)
	if err != nil {
		return agent.Config{}, err
	}
	return fleetConfig(s.Program, f.config, keys, f.log), nil
}

// withClient calls do with a client of the fleet.
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

// newQueryCommand makes a command without arguments that asks the fleet for something and prints it.
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

// print prints v as JSON if the flags ask for it; else printText prints it.
func (f *fleetCommands) print(v any, printText func()) error {
	if !f.json {
		printText()
		return nil
	}
	e := json.NewEncoder(f.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
