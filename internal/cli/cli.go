package cli

import (
	"errors"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/node"
)

// ErrReported is returned by a command that has already printed its findings. The program then exits with code 1 and
// prints no further text.
var ErrReported = errors.New("reported")

// New returns the root command with all subcommands. The commands print to out and write their log to logs.
func New(out, logs io.Writer) *cobra.Command {
	log := slog.New(slog.NewTextHandler(logs, nil))
	root := &cobra.Command{
		Use:           "yokestall",
		Short:         "A load balancer and traffic processor for large fleets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(logs)
	root.AddCommand(
		newServeCommand(log),
		newCheckCommand(out, logs),
		newSealCommand(out),
		newDemoCommand(out, log),
		newLabCommand(out),
		newFleetCommand(out, log),
		newReleaseCommand(out, log),
		newNodeCommand(),
	)
	return root
}

// newNodeCommand returns the `node` command, which runs the same code as the program yokestall-node. It serves machines
// on which only the program yokestall is installed.
func newNodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run the platform's node, told what to do by BALANCER_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Command(nil) },
	}
}
