package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/lab/sockets"
)

// newLabRealCommand returns the `lab real` command.
func newLabRealCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "real FILE...",
		Short: "Play days on sockets too, in real time, beside the same days in virtual time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return runAll(paths, func(path string) (bool, error) { return runInRealTime(c.Context(), out, path) })
		},
	}
}

// runInRealTime runs one experiment in virtual time, and in real time on sockets. passed says that the run in real time
// had no violations and that the load generator was not late.
func runInRealTime(ctx context.Context, out io.Writer, path string) (passed bool, err error) {
	e, err := loadExperiment(path)
	if err != nil {
		return false, err
	}
	virtual, err := lab.Run(e, "virtual", fleetsim.NewBalancer, 1)
	if err != nil {
		return false, err
	}
	realTime, void, err := sockets.RunInProcess(ctx, e, slog.New(slog.DiscardHandler))
	if err != nil {
		return false, err
	}
	passed = printSideBySide(out, e, virtual, realTime, realTime.Violations(), void)
	fmt.Fprintln(out)
	return passed, nil
}
