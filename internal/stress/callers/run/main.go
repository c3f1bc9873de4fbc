// Command run plays the rig of internal/stress/callers and exits with 1 if anything broke; with -bench it
// compares the processor with an empty one instead.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"

	"yokestall/internal/stress/callers"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "side" { // of the comparison
		if err := callers.Side(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "callers:", err)
			os.Exit(1)
		}
		return
	}
	o := callers.Options{Out: os.Stdout, Log: slog.New(slog.DiscardHandler)}
	flag.IntVar(&o.Requests, "requests", 100_000, "`N` requests in all")
	flag.IntVar(&o.Callers, "callers", 64, "at once")
	bench := flag.Int("bench", 0, "compare, with `N` exchanges a round")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if *bench > 0 {
		if err := callers.Bench(ctx, os.Stdout, *bench, 7); err != nil {
			fmt.Fprintln(os.Stderr, "callers:", err)
			os.Exit(1)
		}
		return
	}
	found, err := callers.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "callers:", err)
	}
	if err != nil || len(found) > 0 {
		os.Exit(1)
	}
}
