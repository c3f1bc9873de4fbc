package cli

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

func showRelease(out io.Writer, log *slog.Logger) *cobra.Command {
	f := &fleetCommands{out: out, log: log}
	id := ""
	c := &cobra.Command{
		Use:   "release FILE",
		Short: "Take a cluster's servers out and back in waves, on behalf of a fleet that agrees",
		Long: "One node at a time carries it on; when that one dies another goes on where it stopped. It restarts nothing: between out and back\n" +
			"there is time for who does. FILE names the cluster, its servers and how many at_once (or waves), a floor, and the times drain, away, warm.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, err := parseRelease(args[0], text)
			if err != nil {
				return err
			}
			if id != "" {
				r.ID = id
			}
			return f.control(cmd, agent.ReleaseCommand{Start: r})
		},
	}
	c.Flags().StringVar(&id, "id", "", "of an earlier try: the same id again is the same release")
	c.PersistentFlags().StringVarP(&f.config, "config", "c", "", "the `file` of a node, whose [fleet.agree] names the fleet, its voters and the keys")
	c.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON")
	for _, w := range []struct{ word, short string }{
		{"status", "Say how the latest release stands"}, {"pause", "Have the release begin nothing new"},
		{"resume", "Have it go on"}, {"abort", "Give the present wave back and end the release"},
	} {
		why := ""
		sub := &cobra.Command{Use: w.word, Short: w.short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			word := w.word
			if word == "status" {
				word = ""
			}
			return f.control(cmd, agent.ReleaseCommand{Action: consensus.ReleaseAction(word), Reason: why})
		}}
		if w.word == "abort" {
			sub.Flags().StringVar(&why, "why", "by hand", "for the record")
		}
		c.AddCommand(sub)
	}
	return c
}

func (f *fleetCommands) control(cmd *cobra.Command, in agent.ReleaseCommand) error {
	return f.with(func(c *agent.Client) error {
		r, err := c.ControlRelease(cmd.Context(), in)
		if err != nil {
			return err
		}
		if err := f.print(r, func() {
			if r.Error != "" {
				fmt.Fprintln(f.out, r.Error)
			}
			p := r.Progress
			switch {
			case p == nil:
			case p.Ended():
				fmt.Fprintf(f.out, "release %s: %s\n", p.Release.ID, p.Result)
			default:
				fmt.Fprintf(f.out, "release %s: wave %d of %d, %v", p.Release.ID, p.Wave+1, len(p.Waves), p.Phase)
				if p.Paused {
					fmt.Fprint(f.out, ", paused")
				}
				if p.StopReason != "" {
					fmt.Fprint(f.out, ", ends with this wave: ", p.StopReason)
				}
				fmt.Fprintln(f.out)
			}
		}); err != nil {
			return err
		}
		if r.Error != "" {
			return ErrReported
		}
		return nil
	})
}
