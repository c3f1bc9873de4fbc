package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// newReleaseCommand returns the `release` command and its subcommands.
func newReleaseCommand(out io.Writer, log *slog.Logger) *cobra.Command {
	f := &fleetCommands{out: out, log: log}
	id := ""
	c := &cobra.Command{
		Use:   "release FILE",
		Short: "Take a cluster's servers out and back in waves, on behalf of a fleet that agrees",
		Long: "One node at a time carries it on; when that one dies another goes on where it stopped. " +
			"It restarts nothing: between out and back\n" +
			"there is time for who does. FILE names the cluster, its servers and how many at_once (or waves), " +
			"a floor, and the times drain, away, warm.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.startRelease(cmd, args[0], id) },
	}
	c.Flags().StringVar(&id, "id", "", "of an earlier try: the same id again is the same release")
	f.addFlags(c)
	c.AddCommand(
		f.newReleaseActionCommand("status", "Say how the latest release stands", ""),
		f.newReleaseActionCommand("pause", "Have the release begin nothing new", consensus.PauseRelease),
		f.newReleaseActionCommand("resume", "Have it go on", consensus.ResumeRelease),
		f.newAbortCommand(),
	)
	return c
}

// newReleaseActionCommand returns a subcommand that sends one action to the fleet. The empty action only asks for the
// status.
func (f *fleetCommands) newReleaseActionCommand(
	use, short string, action consensus.ReleaseAction,
) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.controlRelease(cmd, agent.ReleaseCommand{Action: action})
		},
	}
}

// newAbortCommand returns the `release abort` command.
func (f *fleetCommands) newAbortCommand() *cobra.Command {
	reason := ""
	c := &cobra.Command{
		Use:   "abort",
		Short: "Give the present wave back and end the release",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.controlRelease(cmd, agent.ReleaseCommand{Action: consensus.AbortRelease, Reason: reason})
		},
	}
	c.Flags().StringVar(&reason, "why", "by hand", "for the record")
	return c
}

// startRelease starts the release that a file describes. If id is empty, the release gets a new ID.
func (f *fleetCommands) startRelease(cmd *cobra.Command, path, id string) error {
	text, err := files.ReadAtRest(path)
	if err != nil {
		return err
	}
	r, err := parseRelease(path, text)
	if err != nil {
		return err
	}
	if id != "" {
		r.ID = id
	}
	return f.controlRelease(cmd, agent.ReleaseCommand{Start: r})
}

// controlRelease sends a command to the fleet and prints the release's progress. It returns ErrReported if the fleet
// refuses the command.
func (f *fleetCommands) controlRelease(cmd *cobra.Command, command agent.ReleaseCommand) error {
	return f.withClient(func(c *agent.Client) error {
		reply, err := c.ControlRelease(cmd.Context(), command)
		if err != nil {
			return err
		}
		if err := f.print(reply, func() { f.printRelease(reply) }); err != nil {
			return err
		}
		if reply.Error != "" {
			return ErrReported
		}
		return nil
	})
}

// printRelease prints the error and the progress of a reply as text.
func (f *fleetCommands) printRelease(reply *agent.ReleaseReply) {
	if reply.Error != "" {
		fmt.Fprintln(f.out, reply.Error)
	}
	p := reply.Progress
	if p == nil {
		return
	}
	if p.Ended() {
		fmt.Fprintf(f.out, "release %s: %s\n", p.Release.ID, p.Result)
		return
	}
	fmt.Fprintf(f.out, "release %s: wave %d of %d, %v", p.Release.ID, p.Wave+1, len(p.Waves), p.Phase)
	if p.Paused {
		fmt.Fprint(f.out, ", paused")
	}
	if p.StopReason != "" {
		fmt.Fprint(f.out, ", ends with this wave: ", p.StopReason)
	}
	fmt.Fprintln(f.out)
}
