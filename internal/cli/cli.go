package cli

import (
	"errors"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/node"
)

// ErrReported ends a command whose findings are printed already: exit code 1, no more text.
var ErrReported = errors.New("reported")

// New makes the command tree; what it prints goes to out, its log to logs.
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
		newCheckCommand(out),
		newDemoCommand(out, log),
		newLabCommand(out),
		newFleetCommand(out, log),
		newReleaseCommand(out, log),
		newNodeCommand(),
	)
	return root
}

// newNodeCommand makes `node`: yokestall-node within the product program, for machines that have that alone.
func newNodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run the platform's node, told what to do by BALANCER_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Command(nil) },
	}
}
