package cli

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
)

// newServeCommand returns the `serve` command.
func newServeCommand(log *slog.Logger) *cobra.Command {
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

// Serve runs the program with the configuration file at path until ctx ends. If ready is not nil, Serve calls it with the
// address of the first listener once the program listens.
func Serve(ctx context.Context, path string, log *slog.Logger, ready func(net.Addr)) error {
	return serve(ctx, path, log, serveOptions{ready: ready})
}

// serveOptions are the lab's changes to a serving program. The zero value changes nothing.
type serveOptions struct {
	ready func(net.Addr)       // called with the first listener's address once it listens; nil: no call
	clock func() time.Duration // clock for the leases of [fleet.agree]; nil: the machine's clock
	hooks *agent.Hooks         // hooks of the fleet agent; nil: no hooks
}

// serve does the work of Serve, with options for the lab.
func serve(ctx context.Context, path string, log *slog.Logger, options serveOptions) error {
	watcher, first, err := files.Open(path, log)
	if err != nil {
		return err
	}
	defer watcher.Close()
	memory := newMemoryLimit()
	memory.set(first.Program.MemoryLimit)
	s, err := newServer(path, first, memory, log, options)
	if err != nil {
		return err
	}
	defer s.shutDown()
	if err := s.start(watcher); err != nil {
		return err
	}
	if options.ready != nil {
		options.ready(s.listeners.Addr(first.Program.Listener.Name))
	}
	s.followConfiguration(watcher)
	return s.wait(ctx)
}
