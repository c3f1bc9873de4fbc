package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

// newLabRealCommand makes `lab real`.
func newLabRealCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "real FILE...",
		Short: "Play days on sockets too, in real time, beside the same days in virtual time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return requireAll(paths, func(path string) (bool, error) { return playReal(c.Context(), out, path) })
		},
	}
}

// playReal plays one day on sockets; passed: it holds what its file states, and the load generator was not late.
func playReal(ctx context.Context, out io.Writer, path string) (passed bool, err error) {
	e, err := loadExperiment(path)
	if err != nil {
		return false, err
	}
	virtual, err := lab.Run(e, "virtual", fleetsim.Program, 1)
	if err != nil {
		return false, err
	}
	sockets, void, err := lab.Real(ctx, e, slog.New(slog.DiscardHandler))
	if err != nil {
		return false, err
	}
	passed = printBeside(out, e, virtual, sockets, sockets.Broken(), void)
	fmt.Fprintln(out)
	return passed, nil
}
