package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

// labRun holds the flags of `lab run`.
type labRun struct {
	out           io.Writer
	seeds         *int          // value of the flag --seeds of `lab`
	otherDeciders bool          // the experiment is also run with the deciders that the program is compared with
	leaseRelease  time.Duration // how long nodes lease slow start budget to others in an extra run; 0: no such run
	csvPath       string        // path of the CSV file; "": no file is written
	sizes         sizeLists
}

// newLabRunCommand returns the `lab run` command.
func newLabRunCommand(out io.Writer, seeds *int) *cobra.Command {
	r := &labRun{out: out, seeds: seeds}
	c := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play days; exits with 1 where one does not hold what its file states",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			return runAll(paths, r.runAtSizes)
		},
	}
	r.addFlags(c)
	return c
}

// addFlags registers the flags with the command.
func (r *labRun) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.DurationVar(&r.leaseRelease, "deal", 0,
		"beside a fleet whose cold budget an owner deals out by demand, where nodes lend for so long")
	flags.BoolVar(&r.otherDeciders, "peers", false, "beside other ways to choose")
	flags.StringVar(&r.csvPath, "csv", "", "write the service of each second to a `file`")
	flags.IntSliceVar(&r.sizes.nodes, "nodes", []int{0}, "with so many nodes, each in turn (0: as the file says)")
	flags.IntSliceVar(&r.sizes.servers, "servers", []int{0}, "with so many servers, and rates that grow with them")
	flags.Float64SliceVar(&r.sizes.loads, "load", []float64{0},
		"with rates that ask for this share of the fleet's capacity")
}

// sizeLists are the sizes at which an experiment is run, in all combinations. 0 stands for the file's own number.
type sizeLists struct {
	nodes, servers []int
	loads          []float64
}

// combinations returns all combinations of the loads, servers and nodes.
func (s *sizeLists) combinations() (list []lab.Size) {
	for _, load := range s.loads {
		for _, servers := range s.servers {
			for _, nodes := range s.nodes {
				list = append(list, lab.Size{Nodes: nodes, Servers: servers, Load: load})
			}
		}
	}
	return list
}

// runAtSizes runs one experiment at all sizes and reports whether all runs pass.
func (r *labRun) runAtSizes(path string) (passed bool, err error) {
	return allPass(r.sizes.combinations(), func(size lab.Size) (bool, error) { return r.runAtSize(path, size) })
}

// runAtSize runs one experiment at one size and prints the outcomes. passed says that the program's outcome is as the
// experiment expects.
func (r *labRun) runAtSize(path string, size lab.Size) (passed bool, err error) {
	e, err := experimentAt(path, size)
	if err != nil {
		return false, err
	}
	outcomes, err := r.outcomes(e)
	if err != nil {
		return false, err
	}
	program := outcomes[0]
	fmt.Fprintln(r.out, e.Summary())
	lab.WriteTable(r.out, outcomes)
	r.printComparison(e, outcomes)
	failures := e.Failures(program)
	printViolations(r.out, failures)
	if r.csvPath != "" {
		if err := writeCSV(r.csvPath, outcomes); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(r.out, "digest %s\n\n", program.Digest())
	return len(failures) == 0, nil
}

// experimentAt reads an experiment and changes its size. At another size than the file's the experiment has no minimum
// service, since the file's minimum applies to the file's size only; the experiment's rules stay.
func experimentAt(path string, size lab.Size) (*lab.Experiment, error) {
	e, err := loadExperiment(path)
	if err != nil || size == (lab.Size{}) {
		return e, err
	}
	if e, err = e.AtSize(size); err != nil {
		return nil, err
	}
	e.MinService = 0
	return e, nil
}

// outcomes runs an experiment with the program and with the other deciders that the flags select. The first outcome is
// the program's.
func (r *labRun) outcomes(e *lab.Experiment) ([]*lab.Outcome, error) {
	seeds := max(1, *r.seeds)
	var list []*lab.Outcome
	for _, decider := range lab.Deciders(r.otherDeciders) {
		o, err := lab.Run(e, decider.Name, decider.Make, seeds)
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	if r.leaseRelease > 0 {
		withOwner := *e
		withOwner.Day.LeaseReleaseDuration = r.leaseRelease
		o, err := lab.Run(&withOwner, "dealt", fleetsim.NewBalancer, seeds)
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	return list, nil
}

// printComparison prints the program's service relative to that of the other deciders, and the program's recovery times
// relative to the oracle. Comparisons of service need more than one seed.
func (r *labRun) printComparison(e *lab.Experiment, outcomes []*lab.Outcome) {
	program, others := outcomes[0], outcomes[1:]
	if *r.seeds > 1 {
		for _, o := range others {
			fmt.Fprintf(r.out, "service of the program over %s: %v\n", o.Name, lab.Compare(o, program))
		}
	}
	at, ok := e.FirstRestart()
	if !ok || !r.otherDeciders {
		return
	}
	for _, o := range outcomes {
		if o.Name == "oracle" {
			t := lab.RecoveryTimes(program, o, at, 0.5, 0.9, 0.99)
			fmt.Fprintf(r.out, "from the first server's return to 50, 90 and 99 %% of what the oracle serves: %v, %v, %v\n",
				t[0], t[1], t[2])
		}
	}
}

// writeCSV writes the service in each second of the outcomes to a CSV file.
func writeCSV(path string, outcomes []*lab.Outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(lab.WriteCSV(f, outcomes), f.Close())
}
