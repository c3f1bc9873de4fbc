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

func showDemo(out io.Writer, log *slog.Logger) *cobra.Command {
	o := demo.Options{Out: out, Log: slog.New(slog.DiscardHandler), Boxes: 4, Clients: 12, Phase: 2 * time.Second}
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
				broken, err := demo.Fleet(c.Context(), demo.FleetOptions{Out: out, Lease: time.Second})
				if err == nil && len(broken) > 0 {
					err = ErrReported
				}
				return err
			}
			r, err := demo.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				return ErrReported
			}
			return nil
		},
	}
	c.Flags().BoolVar(&o.Keep, "keep", false, "serve on afterwards, until interrupted")
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
	broken, err := demo.Upkeep(ctx, demo.UpkeepOptions{Out: o.Out, Node: []string{self, "node"}, Clients: o.Clients, Phase: o.Phase / 2})
	if err != nil {
		return err
	}
	if len(broken) > 0 {
		return ErrReported
	}
	return nil
}
