// Command yokestall is the product program. Package cli has its subcommands. Exit codes: 0, or 1 after any error.
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
