// Command yokestall is one node of the load balancer.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"yokestall/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yokestall:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	limit(cfg.Limits)
	n, err := node.Listen(cfg)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// limit keeps the runtime inside the machine. The live heap is small, so it may
// grow severalfold between collections, up to a part of the memory.
func limit(l node.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 7 / 10)
	}
	debug.SetGCPercent(400)
}
