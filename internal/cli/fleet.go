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
	"yokestall/internal/tlskeys"
)

func showFleet(out io.Writer, log *slog.Logger) *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "What the nodes of a fleet agree on: make one, publish versions, see who acts on what",
	}
	f := &fleetCommands{out: out, log: log}
	c.PersistentFlags().StringVarP(&f.config, "config", "c", "", "the `file` of a node, whose [fleet.agree] names the fleet, its voters and the keys")
	c.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON")
	c.AddCommand(fleetDiff(out), f.init(), f.status(), f.publish(), f.rollback(), f.history(), f.voters(), f.owners())
	return c
}

type fleetCommands struct {
	out    io.Writer
	log    *slog.Logger
	config string
	json   bool
}

// of gives what the node's file says.
func (f *fleetCommands) of() (agent.Config, error) {
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
	var keys *tlskeys.Store
	if k := s.Program.Keys; k.Folder != "" {
		if keys, err = tlskeys.Open(files.Beside(f.config, k.Folder), k.First, f.log); err != nil {
			return agent.Config{}, err
		}
	}
	return fleetConfig(s.Program, f.config, keys, f.log), nil
}

// with runs something with a client of the fleet.
func (f *fleetCommands) with(do func(c *agent.Client) error) error {
	of, err := f.of()
	if err != nil {
		return err
	}
	c, err := agent.NewClient(of.Fleet, of.Voters, of.ClientTLS)
	if err != nil {
		return err
	}
	defer c.Close()
	return do(c)
}

// report makes a command without arguments that asks the fleet for something and prints it.
func (f *fleetCommands) report(use, short string, do func(ctx context.Context, c *agent.Client) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return f.with(func(c *agent.Client) error { return do(cmd.Context(), c) })
	}}
}

// print prints JSON, or as text says.
func (f *fleetCommands) print(v any, text func()) error {
	if !f.json {
		text()
		return nil
	}
	e := json.NewEncoder(f.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
