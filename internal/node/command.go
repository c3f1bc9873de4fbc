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
	// memoryLimitTenths is the part of the granted memory that the Go runtime may use, in tenths; the
	// rest is the kernel's for sockets and files.
	memoryLimitTenths = 7
	// gcPercent is low for a program of little garbage: a heap that may grow severalfold would grow
	// for minutes.
	gcPercent = 100
)

// Command runs the node that the environment configures until SIGTERM or an interrupt; args are the
// program's arguments. SIGHUP reloads the address of discovery.
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

// parseArguments returns the path of the settings file; "": none.
func parseArguments(args []string) (settingsPath string, err error) {
	flags := flag.NewFlagSet("yokestall-node", flag.ContinueOnError)
	settings := flags.String("settings", "",
		"the operator's `file` of settings (deploy/node.toml is the example); none by default")
	if err := flags.Parse(args); err != nil {
		return "", err
	}
	if flags.NArg() > 0 {
		return "", fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return *settings, nil
}

// reloadOnSignal reloads the configuration at each signal until the context ends. Only the address of
// discovery may change while the node runs; a configuration that can't be read changes nothing.
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

// limitRuntime bounds the runtime's use of the machine.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * memoryLimitTenths / 10)
	}
	debug.SetGCPercent(gcPercent)
}
