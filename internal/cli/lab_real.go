package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

// playReal plays one day on sockets; false: it does not hold what its file states, or the run says nothing.
func playReal(ctx context.Context, out io.Writer, path string) (bool, error) {
	e, err := experiment(path)
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
	held := printBeside(out, e, virtual, sockets, sockets.Broken(), void)
	fmt.Fprintln(out)
	return held, nil
}
