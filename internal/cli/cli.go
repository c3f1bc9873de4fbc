// Package cli is the product program's command line.
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
		Use:          "yokestall",
		Short:        "A load balancer and traffic processor for large fleets",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(logs)
	root.AddCommand(serve(log), check(out), showDemo(out, log), showLab(out), showFleet(out, log), showRelease(out, log), platformNode())
	return root
}

// platformNode is yokestall-node within the product program, for machines that have that alone.
func platformNode() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run the platform's node, told what to do by BALANCER_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Command(nil) },
	}
}
