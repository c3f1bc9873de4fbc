package cli

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds"
)

// restartNeeded is the log event of a setting that changed and takes effect at the next start alone.
const restartNeeded = "changed settings need a restart"

func serve(log *slog.Logger) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve by a configuration file and its cluster files, following their changes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return Serve(c.Context(), path, log, nil)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the program's `file` (deploy/yokestall.toml is the example)")
	c.MarkFlagRequired("config")
	return c
}

// Serve runs the program by its files until ctx ends. ready, if given, is called with
// the address once it listens.
func Serve(ctx context.Context, path string, log *slog.Logger, ready func(net.Addr)) error {
	return serveBy(ctx, path, log, ready, nil, nil)
}

// serveBy is Serve with a clock for the leases of [fleet.agree], nil: the machine's, and a rig's hooks into the
// node's part of the fleet, or nil.
func serveBy(ctx context.Context, path string, log *slog.Logger, ready func(net.Addr), clock func() time.Duration, hooks *agent.Hooks) error {
	watcher, first, err := files.Open(path, log)
	if err != nil {
		return err
	}
	memory := newMemoryLimit()
	memory.set(first.Program.MemoryLimit)
	o := app.Options{Seed: rand.Uint64(), Log: log, Path: path}
	keys := first.Program.Keys
	if keys.Folder != "" {
		if o.Keys, err = tlskeys.Open(files.Beside(path, keys.Folder), keys.First, log); err != nil {
			return err
		}
	}
	var a *app.App
	var own *app.AgreedSource
	var fleet *member
	if first.Program.Agree.On() {
		a, own, fleet, err = agreed(first, o, path, clock, hooks)
	} else {
		a, err = app.New(first, o)
	}
	if err != nil {
		return err
	}
	defer a.Close()
	ctx, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer stop()
	if fleet != nil {
		watch.Go(func() { fleet.run(ctx, log) })
	}
	listeners := a.NewListeners()
	if err := listeners.Apply(first.Program.Listeners); err != nil {
		return err
	}
	defer listeners.Close()
	processed := make(chan error, 1)
	if set := first.Program.ExtProc; set.Address != "" {
		l, err := net.Listen("tcp", set.Address)
		if err != nil {
			return fmt.Errorf("extproc: %w", err)
		}
		watch.Go(func() { processed <- a.ServeProcessor(ctx, l, a.NewProcessor(set), set) })
	}
	if ready != nil {
		ready(listeners.Addr(first.Program.Listener.Name))
	}
	source := app.NewSource(a, first)
	if c := app.XDSConfig(first.Program, path); c != nil {
		client := xds.New(*c, log)
		client.Restore(source.Deliver)
		watch.Go(func() { client.Run(ctx, source.Deliver) })
	}
	watch.Go(func() {
		watcher.Run(ctx, func(s *files.Snapshot) {
			memory.set(s.Program.MemoryLimit)
			if own != nil {
				own.SetOwnProgram(s.Program)
			} else {
				source.SetFiles(s)
			}
			if !reflect.DeepEqual(s.Program.Agree, first.Program.Agree) {
				log.Warn(restartNeeded, "settings", "[fleet.agree]")
			}
			if x := &first.Program.XDS; !reflect.DeepEqual(s.Program.XDS, *x) ||
				len(x.Servers) > 0 && !slices.EqualFunc(s.Program.Classes, first.Program.Classes, func(a, b config.Class) bool { return a.Name == b.Name }) {
				log.Warn(restartNeeded, "settings", "[xds], or names of classes with a control plane")
			}
			if s.Program.ExtProc != first.Program.ExtProc {
				log.Warn(restartNeeded, "settings", "[extproc]")
			}
			if s.Program.Keys != keys {
				log.Warn(restartNeeded, "settings", "[keys]")
			}
			if err := listeners.Apply(s.Program.Listeners); err != nil {
				log.Error("listener update failed, keeping the current listeners", "err", err)
			}
		})
	})
	if o.Keys != nil {
		watch.Go(func() { o.Keys.Run(ctx, keys.Poll) })
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-listeners.Failed():
		return err
	case err := <-processed:
		if ctx.Err() == nil {
			return fmt.Errorf("extproc: %w", err)
		}
		return nil
	}
}
