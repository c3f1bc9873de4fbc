// Command run plays the rig of internal/stress/badpeers and exits with 1 if a rule was broken.
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
	flag.IntVar(&options.Requests, "requests", 20_000, "mixed faults: `N` requests; 0: not at all")
	flag.IntVar(&options.Largest, "largest", 100<<20, "bytes of their largest body")
	flag.IntVar(&options.Connections, "connections", 1000,
		"idle HTTP/2 connections; each takes a descriptor here and one in the clients' process")
	flag.Int64Var(&options.Megabytes, "megabytes", 1024, "through each way in which sides speak, each way")
	flag.IntVar(&options.Resets, "resets", 200_000, "streams opened and reset")
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
