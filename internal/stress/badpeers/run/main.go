// Command run plays the rig of internal/stress/badpeers and exits with status 1 if a rule was violated
// or the rig failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"

	"yokestall/internal/stress/badpeers"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == idleCommand {
		if err := serveIdle(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, "abuse: crowd:", err)
			os.Exit(1)
		}
		return
	}
	options := badpeers.Options{Out: os.Stdout, Log: slog.New(slog.DiscardHandler), OpenIdle: openIdle}
	flag.IntVar(&options.Requests, "requests", 20_000, "number `N` of requests with mixed faults; 0 skips this scenario")
	flag.IntVar(&options.Largest, "largest", 100<<20, "maximum size in bytes of the response body of a request with mixed faults")
	flag.IntVar(&options.Connections, "connections", 1000,
		"number of idle HTTP/2 connections; each uses a file descriptor in this process and one in the child process")
	flag.Int64Var(&options.Megabytes, "megabytes", 1024, "megabytes to transfer in each direction over each protocol")
	flag.IntVar(&options.Resets, "resets", 200_000, "number of streams to open and reset")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	findings, err := badpeers.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "abuse:", err)
	}
	if err != nil || len(findings) > 0 {
		os.Exit(1)
	}
}
