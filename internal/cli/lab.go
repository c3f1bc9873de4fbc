package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/lab/sockets"
)

// experiment reads an experiment's file.
func experiment(path string) (*lab.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return lab.Parse(path, text)
}

func showLab(out io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Play days of a fleet in virtual time: what would happen to us if",
	}
	var seeds int
	c.PersistentFlags().IntVar(&seeds, "seeds", 4, "play `N` seeds, from the file's own on")
	var peers bool
	var deal time.Duration
	var sheet string
	var sizes sizes
	run := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play days; exits with 1 where one does not hold what its file states",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			return each(paths, func(path string) (bool, error) {
				return eachOf(sizes.all(), func(size lab.Size) (bool, error) { return play(out, path, size, seeds, peers, sheet, deal) })
			})
		},
	}
	run.Flags().DurationVar(&deal, "deal", 0, "beside a fleet whose cold budget an owner deals out by demand, where nodes lend for so long")
	run.Flags().BoolVar(&peers, "peers", false, "beside other ways to choose")
	run.Flags().StringVar(&sheet, "csv", "", "write the service of each second to a `file`")
	run.Flags().IntSliceVar(&sizes.nodes, "nodes", []int{0}, "with so many nodes, each in turn (0: as the file says)")
	run.Flags().IntSliceVar(&sizes.servers, "servers", []int{0}, "with so many servers, and rates that grow with them")
	run.Flags().Float64SliceVar(&sizes.loads, "load", []float64{0}, "with rates that ask for this share of the fleet's capacity")
	compare := &cobra.Command{
		Use:   "compare A B",
		Short: "Play two days on the same seeds, and say whether the second gives more service than the first",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, paths []string) error {
			var both []*lab.Outcome
			for _, path := range paths {
				e, err := experiment(path)
				if err != nil {
					return err
				}
				o, err := lab.Run(e, path, fleetsim.Program, max(2, seeds))
				if err != nil {
					return err
				}
				both = append(both, o)
			}
			lab.WriteTable(out, both)
			fmt.Fprintln(out, "service of the second over the first:", lab.Compare(both[0], both[1]))
			return nil
		},
	}
	sockets := &cobra.Command{
		Use:   "real FILE...",
		Short: "Play days on sockets too, in real time, beside the same days in virtual time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return each(paths, func(path string) (bool, error) { return playReal(c.Context(), out, path) })
		},
	}
	var draw int
	var drawSeed uint64
	processes := &cobra.Command{
		Use:   "fleet FILE...",
		Short: "Play days with a real process of the program for each node, and the file's faults of processes and links",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			return each(paths, func(path string) (bool, error) { return playFleet(c.Context(), out, path, draw, drawSeed) })
		},
	}
	processes.Flags().IntVar(&draw, "draw", 0, "draw `N` faults in place of the file's, and print them")
	processes.Flags().Uint64Var(&drawSeed, "faults", 1, "by this `seed`")
	list := &cobra.Command{
		Use:   "list [FOLDER]",
		Short: "List the days of a folder",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := filepath.Join("deploy", "lab")
			if len(args) > 0 {
				folder = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(folder, "*.toml"))
			if err != nil || len(paths) == 0 {
				return errors.Join(fmt.Errorf("%s: no days", folder), err)
			}
			for _, path := range paths {
				if scalePlan(path) {
					continue
				}
				e, err := experiment(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%-36s %s\n", path, e.Summary())
			}
			return nil
		},
	}
	c.AddCommand(run, sockets, processes, compare, list, labVersions(out), labServe(), labScale(out), labHollow(), labProcess(out))
	return c
}

// each plays days, or one day at sizes, to the last; what does not hold has been printed.
func each[T any](list []T, play func(T) (bool, error)) error {
	held, err := eachOf(list, play)
	if err == nil && !held {
		err = ErrReported
	}
	return err
}

func eachOf[T any](list []T, play func(T) (bool, error)) (held bool, err error) {
	held = true
	for _, one := range list {
		ok, err := play(one)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// playFleet plays one day with real processes; false: a rule was broken, or the run says nothing.
func playFleet(ctx context.Context, out io.Writer, path string, draw int, seed uint64) (bool, error) {
	e, err := experiment(path)
	if err != nil {
		return false, err
	}
	if draw > 0 {
		e.Faults = fleet.Draw(seed, draw, e.Day.Nodes, e.Day.Servers, e.Day.Length)
		for _, f := range e.Faults {
			fmt.Fprintln(out, f)
		}
	}
	itself, err := os.Executable()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "yokestall-fleet-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	virtual, err := lab.Run(e, "virtual, no faults", fleetsim.Program, 1)
	if err != nil {
		return false, err
	}
	processes, found, void, err := sockets.RunProcesses(ctx, e, dir, []string{itself}, nil)
	if err != nil {
		return false, err
	}
	return printBeside(out, e, virtual, processes, found, void), nil
}

// playReal plays one day on sockets; false: it does not hold what its file states, or the run says nothing.
func playReal(ctx context.Context, out io.Writer, path string) (bool, error) {
	e, err := experiment(path)
	if err != nil {
		return false, err
	}
	virtual, err := lab.Run(e, "virtual", fleetsim.Program, 1)
	if err != nil {
		return false, err
	}
	realTime, void, err := sockets.RunInProcess(ctx, e, slog.New(slog.DiscardHandler))
	if err != nil {
		return false, err
	}
	held := printBeside(out, e, virtual, realTime, realTime.Violations(), void)
	fmt.Fprintln(out)
	return held, nil
}

// printBeside prints a day's outcome in real time beside that in virtual time, and whether the former holds.
func printBeside[T any](out io.Writer, e *lab.Experiment, virtual, realTime *lab.Outcome, broken []T, void bool) (held bool) {
	fmt.Fprintln(out, e.Summary())
	lab.WriteTable(out, []*lab.Outcome{virtual, realTime})
	for _, b := range broken {
		fmt.Fprintln(out, "NOT HELD:", b)
	}
	if void {
		fmt.Fprintln(out, "VOID: the load generator was late itself")
	}
	return len(broken) == 0 && !void
}

// sizes are what a day is played at, each with each.
type sizes struct {
	nodes, servers []int
	loads          []float64
}

func (s *sizes) all() (list []lab.Size) {
	for _, load := range s.loads {
		for _, servers := range s.servers {
			for _, nodes := range s.nodes {
				list = append(list, lab.Size{Nodes: nodes, Servers: servers, Load: load})
			}
		}
	}
	return list
}

// play plays one day; false: it does not hold what its file states. At a size of its own a day keeps the rules;
// the service that a file states is for the file's own size.
func play(out io.Writer, path string, size lab.Size, seeds int, peers bool, sheet string, deal time.Duration) (bool, error) {
	e, err := experiment(path)
	if err != nil {
		return false, err
	}
	if size != (lab.Size{}) {
		if e, err = e.AtSize(size); err != nil {
			return false, err
		}
		e.MinService = 0
	}
	var list []*lab.Outcome
	for _, decider := range lab.Deciders(peers) {
		o, err := lab.Run(e, decider.Name, decider.Make, max(1, seeds))
		if err != nil {
			return false, err
		}
		list = append(list, o)
	}
	if deal > 0 {
		dealt := *e
		dealt.Day.PledgeDuration = deal
		o, err := lab.Run(&dealt, "dealt", fleetsim.Program, max(1, seeds))
		if err != nil {
			return false, err
		}
		list = append(list, o)
	}
	fmt.Fprintln(out, e.Summary())
	lab.WriteTable(out, list)
	for _, o := range list[1:] {
		if seeds > 1 {
			fmt.Fprintf(out, "service of the program over %s: %v\n", o.Name, lab.Compare(o, list[0]))
		}
	}
	if at, ok := e.FirstRestart(); ok && peers {
		for _, o := range list {
			if o.Name == "oracle" {
				t := lab.RecoveryTimes(list[0], o, at, 0.5, 0.9, 0.99)
				fmt.Fprintf(out, "from the first server's return to 50, 90 and 99 %% of what the oracle serves: %v, %v, %v\n", t[0], t[1], t[2])
			}
		}
	}
	faults := e.Failures(list[0])
	for _, f := range faults {
		fmt.Fprintln(out, "NOT HELD:", f)
	}
	if sheet != "" {
		f, err := os.Create(sheet)
		if err != nil {
			return false, err
		}
		if err := errors.Join(lab.WriteCSV(f, list), f.Close()); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(out, "digest %s\n\n", list[0].Digest())
	return len(faults) == 0, nil
}
