// Command run runs the rig of internal/stress/callers and exits with status 1 if a rule was violated or the rig failed.
// With -bench, it compares the external processor with an empty processor instead.
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

// benchRounds is the number of measured rounds of the comparison for each number of streams.
const benchRounds = 7

func main() {
	if len(os.Args) == 3 && os.Args[1] == "side" { // a child process of callers.Bench
		if err := callers.ServeBench(os.Args[2]); err != nil {
			fail(err)
		}
		return
	}
	options := callers.Options{Out: os.Stdout, Log: slog.New(slog.DiscardHandler)}
	flag.IntVar(&options.Requests, "requests", 100_000, "total number `N` of requests")
	flag.IntVar(&options.Callers, "callers", 64, "number of concurrent callers")
	exchanges := flag.Int("bench", 0, "compare the processor with an empty one instead, `N` exchanges a round")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if *exchanges > 0 {
		if err := callers.Bench(ctx, os.Stdout, *exchanges, benchRounds); err != nil {
			fail(err)
		}
		return
	}
	findings, err := callers.Run(ctx, options)
	if err != nil {
		fail(err)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

// fail prints an error and exits with status 1.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "callers:", err)
	os.Exit(1)
}
