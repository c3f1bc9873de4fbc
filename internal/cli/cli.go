// Package cli is the product program's command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/demo"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/node"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds"
)

// restartNeeded is the log event of a setting that changed and takes effect at the next start alone.
const restartNeeded = "changed settings need a restart"

// ErrReported ends a command whose findings are printed already: exit code 1, no more text.
var ErrReported = errors.New("reported")

// New makes the command tree; what it prints goes to out, its log to logs.
func New(out, logs io.Writer) *cobra.Command {
	log := slog.New(slog.NewTextHandler(logs, nil))
	root := &cobra.Command{
		Use:          "yokestall",
		Short:        "A load balancer and traffic processor for large fleets",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(logs)
	root.AddCommand(serve(log), check(out), showDemo(out, log), showLab(out), showFleet(out, log), showRelease(out, log), platformNode())
	return root
}

// platformNode is yokestall-node within the product program, for machines that have that alone.
func platformNode() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run the platform's node, told what to do by BALANCER_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Command(nil) },
	}
}

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

func check(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration files with the cluster files that they point to, or cluster files and files of tenants alone",
		Long:  "Prints file:line: what is wrong, and exits with 1 if anything is. The running program gives the same verdict.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			bad := false
			for _, path := range paths {
				s, warn, err := files.Check(path)
				for _, w := range warn {
					fmt.Fprintln(out, "warning:", w)
				}
				if err == nil && s != nil && s.Program.Agree.On() {
					t := s.Program.Agree.Lease
					fmt.Fprintf(out, "%s: a version that contradicts is in force, and acted on by no one else than by all, %v after it is taken up at the latest;\n"+
						"  a node acts on its rules for %v without a word from a majority of the voters, and then alone\n", path, t.ActivationBound().Round(time.Millisecond), t.HolderTerm().Round(time.Millisecond))
				}
				if err != nil {
					bad = true
					fmt.Fprintln(out, err)
				}
			}
			if bad {
				return ErrReported
			}
			return nil
		},
	}
}

func showDemo(out io.Writer, log *slog.Logger) *cobra.Command {
	o := demo.Options{Out: out, Log: slog.New(slog.DiscardHandler), Endpoints: 4, Clients: 12, Phase: 2 * time.Second}
	verbose, upkeep, fleet := false, false, false
	c := &cobra.Command{
		Use:   "demo",
		Short: "Route real requests on stand-in app boxes, with one slow, one draining, one dying",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if verbose {
				o.Log = log
			}
			if upkeep {
				return showUpkeep(c.Context(), o)
			}
			if fleet {
				broken, err := demo.Fleet(c.Context(), demo.FleetOptions{Out: out, LeaseDuration: time.Second})
				if err == nil && len(broken) > 0 {
					err = ErrReported
				}
				return err
			}
			r, err := demo.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if len(r.Violations) > 0 {
				return ErrReported
			}
			return nil
		},
	}
	c.Flags().BoolVar(&o.KeepServing, "keep", false, "serve on afterwards, until interrupted")
	c.Flags().BoolVar(&o.XDS, "xds", false, "have clusters, endpoints and routes come from a stand-in control plane")
	c.Flags().BoolVar(&o.ExtProc, "extproc", false, "have a stand-in proxy in front ask the program about each request")
	c.Flags().BoolVar(&o.TLS, "tls", false, "have clients speak HTTP/2 over TLS, with keys that are replaced meanwhile")
	c.Flags().BoolVar(&fleet, "fleet", false, "have five nodes agree on versions while one of them is cut off")
	c.Flags().BoolVar(&upkeep, "upkeep", false, "take a server out and back, drain the node, and replace its process, under load")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "show the program's log too")
	return c
}

// showUpkeep has the demo's node be this program itself.
func showUpkeep(ctx context.Context, o demo.Options) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	broken, err := demo.Maintenance(ctx, demo.MaintenanceOptions{Out: o.Out, NodeCommand: []string{self, "node"}, Clients: o.Clients, Phase: o.Phase / 2})
	if err != nil {
		return err
	}
	if len(broken) > 0 {
		return ErrReported
	}
	return nil
}
