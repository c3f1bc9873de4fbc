package node

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
)

const (
	// memoryLimitTenths is the part of the memory limit that the Go runtime may use, in tenths. The rest is left to
	// the kernel's buffers for sockets and files.
	memoryLimitTenths = 7
	// gcPercent is Go's default. A higher value, which is common for programs that allocate little garbage, would let
	// the heap grow severalfold between collections, and so for minutes.
	gcPercent = 100
)

// Command runs a node until SIGTERM or an interrupt. The environment names its configuration file, and args are the
// program's arguments without its name. SIGHUP reloads the address of the discovery service.
func Command(args []string) error {
	settingsPath, err := parseArguments(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if settingsPath != "" {
		if err := cfg.ApplySettings(settingsPath); err != nil {
			return err
		}
	}
	limitRuntime(cfg.Limits)
	n, err := Listen(cfg)
	if err != nil {
		return err
	}
	go reloadOnSignal(ctx, reload, n)
	return n.Run(ctx)
}

// parseArguments returns the path of the settings file, or "" if the arguments name none.
func parseArguments(args []string) (settingsPath string, err error) {
	flags := flag.NewFlagSet("yokestall-node", flag.ContinueOnError)
	settings := flags.String("settings", "",
		"path of the operator's settings `file` (deploy/node.toml is an example); no file by default")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	if flags.NArg() > 0 {
		return "", fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return *settings, nil
}

// reloadOnSignal rereads the configuration file at each signal until ctx is done. Only the address of the discovery
// service may change while the node runs. If the file can't be read, the node keeps the previous address.
func reloadOnSignal(ctx context.Context, reload <-chan os.Signal, n *Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		addr, err := ReloadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("configuration reload failed, previous configuration in use", "err", err)
			continue
		}
		n.MoveDiscovery(addr)
	}
}

// limitRuntime sets the CPU and memory limits of the Go runtime.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * memoryLimitTenths / 10)
	}
	debug.SetGCPercent(gcPercent)
}
