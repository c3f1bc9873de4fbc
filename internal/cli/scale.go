package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/lab/capacity"
	"yokestall/internal/lab/scale"
	"yokestall/internal/tlskeys"
)

// labScale plays fleets of hollow nodes and measures what control costs.
func labScale(out io.Writer) *cobra.Command {
	to, check, dir := "", "", ""
	c := &cobra.Command{
		Use:   "scale FILE",
		Short: "Measure what control costs at several sizes: real voters and nodes, and hollow nodes that share processes",
		Long: "A hollow node takes part in the fleet by a node's own code, and serves nothing. All processes are on loopback addresses of this machine,\n" +
			"and end with this one. The figures go to a file of JSON. --check PAGE runs nothing: it says where a page of figures is not what the files in\n" +
			"the folder capacity beside it say.",
		Args: func(cmd *cobra.Command, args []string) error {
			if check != "" {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if check != "" {
				return checkPage(out, check)
			}
			return playScale(cmd.Context(), out, cmd.ErrOrStderr(), args[0], to, dir)
		},
	}
	c.Flags().StringVar(&to, "out", "", "the `file` for the figures; without one only a summary is printed")
	c.Flags().StringVar(&dir, "dir", "", "(the system's for temporary files) a `folder` for the nodes' stores; on one disk the writes of a thousand nodes wait for each other")
	c.Flags().StringVar(&check, "check", "", "a `page` of figures")
	return c
}

// checkPage says where a page of figures parts from the files of measured runs.
func checkPage(out io.Writer, page string) error {
	err := capacity.CheckFile(page)
	if err == nil {
		fmt.Fprintf(out, "%s: its figures are those of the files\n", page)
		return nil
	}
	fmt.Fprintln(out, err)
	return ErrReported
}

func playScale(ctx context.Context, out, progress io.Writer, path, to, parent string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	plan, err := scale.Parse(path, text)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(parent, "yokestall-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	began := time.Now()
	figures, err := scale.Play(ctx, plan, scale.Options{Dir: dir, Command: []string{self}, Progress: func(format string, args ...any) {
		fmt.Fprintf(progress, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}})
	if err != nil {
		return err
	}
	figures.Plan = filepath.ToSlash(path)
	figures.Command = "yokestall lab scale " + figures.Plan
	if parent != "" {
		figures.Command += " --dir " + parent
	}
	figures.Print(out)
	if to == "" {
		return nil
	}
	return figures.Write(to)
}

// placement is where a process of a run stands, by its flags.
type placement struct{ region, regions, zone int }

func (p *placement) flags(c *cobra.Command) {
	c.Flags().IntVar(&p.region, "region", 0, "in which the process stands, from 0")
	c.Flags().IntVar(&p.regions, "regions", 1, "over which the voters are spread")
	c.Flags().IntVar(&p.zone, "zone", 0, "in which the process stands, from 0")
}

// serveControlled is serve under the command of the process that started this one.
func serveControlled(ctx context.Context, path string, log *slog.Logger, at placement, clock func() time.Duration) error {
	snap, err := files.Load(path)
	if err != nil {
		return err
	}
	own := fleetConfig(snap.Program, path, nil, log)
	if own.Fleet == "" || at.regions < 1 || at.region < 0 || at.region >= at.regions {
		return fmt.Errorf("%s: a node of a fleet is controlled, in one of its regions", path)
	}
	meter, states := scale.NewMeter(own.Voters, at.regions), scale.NewStates()
	states.Register(own.Name, at.region, at.zone)
	hooks := meter.Hooks(at.region)
	hooks.Applied = func(rules consensus.ActiveVersions, alone bool) { states.Record(own.Name, rules, alone) }
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	controlled := make(chan error, 1)
	err = serveBy(ctx, path, log, func(net.Addr) {
		go func() {
			c := &scale.CommandServer{Meter: meter, States: states}
			controlled <- c.Serve(ctx, os.Stdin, os.Stdout, ended(stop))
		}()
	}, clock, &hooks)
	if err != nil {
		return err
	}
	return <-controlled
}

// ended ends a process whose commands have ended: in good order, or else at once after a time.
func ended(stop context.CancelFunc) func() {
	return func() {
		stop()
		time.AfterFunc(scale.ExitTimeout, func() { os.Exit(1) })
	}
}

// labHollow runs hollow nodes, under the command of the process that started this one.
func labHollow() *cobra.Command {
	path := ""
	var at scale.Placement
	c := &cobra.Command{
		Use: "hollow", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if at.First < 0 || at.Count < 1 || at.Offset < 0 || at.Regions < 1 || at.Zones < 1 {
				return errors.New("--first, --count, --before, --regions, --zones: no such nodes")
			}
			return runHollow(cmd.Context(), path, at, slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
		},
	}
	f := c.Flags()
	f.StringVarP(&path, "config", "c", "", "the nodes' own `file`")
	f.IntVar(&at.First, "first", 0, "number of the first one among all hollow nodes")
	f.IntVar(&at.Count, "count", 1, "how many")
	f.IntVar(&at.Offset, "before", 0, "nodes of the fleet that are not hollow")
	f.IntVar(&at.Regions, "regions", 1, "over which all are spread")
	f.IntVar(&at.Zones, "zones", 1, "likewise")
	return c
}

func runHollow(ctx context.Context, path string, at scale.Placement, log *slog.Logger) error {
	snap, err := files.Load(path)
	if err != nil {
		return err
	}
	p := snap.Program
	if !p.Agree.On() {
		return fmt.Errorf("%s: has no [fleet.agree]", path)
	}
	keys, err := fleetKeys(p, path, log)
	if err != nil {
		return err
	}
	base := fleetConfig(p, path, keys, log)
	meter, states := scale.NewMeter(base.Voters, at.Regions), scale.NewStates()
	hollow := scale.NewHollow(base, p, at, meter, states)
	defer hollow.Stop()
	if err := hollow.Start(ctx, false); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &scale.CommandServer{Meter: meter, States: states, Nodes: hollow}
	return c.Serve(ctx, os.Stdin, os.Stdout, ended(stop))
}

// fleetKeys opens the keys that a program's file names; nil: none.
func fleetKeys(p *config.Program, path string, log *slog.Logger) (*tlskeys.Store, error) {
	if p.Keys.Folder == "" {
		return nil, nil
	}
	return tlskeys.Open(files.Beside(path, p.Keys.Folder), p.Keys.First, log)
}

// scalePlan tells whether a file of the lab is a plan of hollow nodes rather than a day.
func scalePlan(path string) bool { return strings.HasPrefix(filepath.Base(path), "scale-") }
