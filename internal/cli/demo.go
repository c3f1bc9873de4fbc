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
	options demo.Options
	fleet   bool
	upkeep  bool
	verbose bool
}

// newDemoCommand makes `demo`.
func newDemoCommand(out io.Writer, log *slog.Logger) *cobra.Command {
	f := &demoFlags{options: demo.Options{
		Out: out, Log: slog.New(slog.DiscardHandler), Boxes: 4, Clients: 12, Phase: 2 * time.Second,
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

// add adds the flags to the command.
func (f *demoFlags) add(c *cobra.Command) {
	flags, o := c.Flags(), &f.options
	flags.BoolVar(&o.Keep, "keep", false, "serve on afterwards, until interrupted")
	flags.BoolVar(&o.XDS, "xds", false, "have clusters, endpoints and routes come from a stand-in control plane")
	flags.BoolVar(&o.ExtProc, "extproc", false,
		"have a stand-in proxy in front ask the program about each request")
	flags.BoolVar(&o.TLS, "tls", false, "have clients speak HTTP/2 over TLS, with keys that are replaced meanwhile")
	flags.BoolVar(&f.fleet, "fleet", false, "have five nodes agree on versions while one of them is cut off")
	flags.BoolVar(&f.upkeep, "upkeep", false,
		"take a server out and back, drain the node, and replace its process, under load")
	flags.BoolVarP(&f.verbose, "verbose", "v", false, "show the program's log too")
}

// run shows the demo that the flags choose; ErrReported if a rule was broken.
func (f *demoFlags) run(ctx context.Context) error {
	switch {
	case f.upkeep:
		return runUpkeepDemo(ctx, f.options)
	case f.fleet:
		broken, err := demo.Fleet(ctx, demo.FleetOptions{Out: f.options.Out, Lease: time.Second})
		return reportBroken(broken, err)
	default:
		r, err := demo.Run(ctx, f.options)
		if err != nil {
			return err
		}
		return reportBroken(r.Broken, nil)
	}
}

// runUpkeepDemo shows a node in daily operation. The node is this program itself.
func runUpkeepDemo(ctx context.Context, o demo.Options) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	broken, err := demo.Upkeep(ctx, demo.UpkeepOptions{
		Out: o.Out, Node: []string{executable, "node"}, Clients: o.Clients, Phase: o.Phase / 2,
	})
	return reportBroken(broken, err)
}

// reportBroken returns err, or ErrReported if rules were broken: the demo has printed them.
func reportBroken[T any](broken []T, err error) error {
	if err == nil && len(broken) > 0 {
		return ErrReported
	}
	return err
}
