package cli

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/demo"
)

// demoFlags are the flags of `demo`.
type demoFlags struct {
	options     demo.Options
	fleet       bool
	maintenance bool
	verbose     bool
}

// newDemoCommand returns the `demo` command.
func newDemoCommand(out io.Writer, log *slog.Logger) *cobra.Command {
	f := &demoFlags{options: demo.Options{
		Out: out, Log: slog.New(slog.DiscardHandler), Endpoints: 4, Clients: 12, Phase: 2 * time.Second,
	}}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Route real requests on stand-in app boxes, with one slow, one draining, one dying",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if f.verbose {
				f.options.Log = log
			}
			return f.run(c.Context())
		},
	}
	f.add(c)
	return c
}

// add registers the flags with a command.
func (f *demoFlags) add(c *cobra.Command) {
	flags, o := c.Flags(), &f.options
	flags.BoolVar(&o.KeepServing, "keep", false, "serve on afterwards, until interrupted")
	flags.BoolVar(&o.XDS, "xds", false, "have clusters, endpoints and routes come from a stand-in control plane")
	flags.BoolVar(&o.ExtProc, "extproc", false,
		"have a stand-in proxy in front ask the program about each request")
	flags.BoolVar(&o.TLS, "tls", false, "have clients speak HTTP/2 over TLS, with keys that are replaced meanwhile")
	flags.BoolVar(&f.fleet, "fleet", false, "have five nodes agree on versions while one of them is cut off")
	flags.BoolVar(&f.maintenance, "upkeep", false,
		"take a server out and back, drain the node, and replace its process, under load")
	flags.BoolVarP(&f.verbose, "verbose", "v", false, "show the program's log too")
}

// run runs the demo that the flags select. It returns ErrReported if the demo found violations.
func (f *demoFlags) run(ctx context.Context) error {
	switch {
	case f.maintenance:
		return runMaintenanceDemo(ctx, f.options)
	case f.fleet:
		violations, err := demo.Fleet(ctx, demo.FleetOptions{Out: f.options.Out, LeaseDuration: time.Second})
		return reportViolations(violations, err)
	default:
		r, err := demo.Run(ctx, f.options)
		if err != nil {
			return err
		}
		return reportViolations(r.Violations, nil)
	}
}

// runMaintenanceDemo runs the demo of maintenance on a node under load. The node runs as a process of this program's own
// executable.
func runMaintenanceDemo(ctx context.Context, o demo.Options) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	violations, err := demo.Maintenance(ctx, demo.MaintenanceOptions{
		Out: o.Out, NodeCommand: []string{executable, "node"}, Clients: o.Clients, Phase: o.Phase / 2,
	})
	return reportViolations(violations, err)
}

// reportViolations returns err if it is not nil, else ErrReported if there are violations, which the demo has already
// printed.
func reportViolations[T any](violations []T, err error) error {
	if err == nil && len(violations) > 0 {
		return ErrReported
	}
	return err
}
