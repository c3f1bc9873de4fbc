// Command yokestall is a load balancer and traffic processor for large fleets. Package cli implements its subcommands. It
// exits with 0 on success and with 1 after any error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"yokestall/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := cli.New(os.Stdout, os.Stderr).ExecuteContext(ctx); err != nil {
		if !errors.Is(err, cli.ErrReported) {
			fmt.Fprintln(os.Stderr, "yokestall:", err)
		}
		os.Exit(1)
	}
}
