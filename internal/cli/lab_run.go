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

// labRun is `lab run` with its flags.
type labRun struct {
	out   io.Writer
	seeds *int // the flag of `lab`
	peers bool
	deal  time.Duration // for which nodes lend; 0: no fleet with an owner
	sheet string        // path of the CSV file; "": none
	sizes labSizes
}

// newLabRunCommand makes `lab run`.
func newLabRunCommand(out io.Writer, seeds *int) *cobra.Command {
	r := &labRun{out: out, seeds: seeds}
	c := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play days; exits with 1 where one does not hold what its file states",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			return requireAll(paths, r.playAtSizes)
		},
	}
	r.addFlags(c)
	return c
}

// addFlags adds the flags to the command.
func (r *labRun) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.DurationVar(&r.deal, "deal", 0,
		"beside a fleet whose cold budget an owner deals out by demand, where nodes lend for so long")
	flags.BoolVar(&r.peers, "peers", false, "beside other ways to choose")
	flags.StringVar(&r.sheet, "csv", "", "write the service of each second to a `file`")
	flags.IntSliceVar(&r.sizes.nodes, "nodes", []int{0}, "with so many nodes, each in turn (0: as the file says)")
	flags.IntSliceVar(&r.sizes.servers, "servers", []int{0}, "with so many servers, and rates that grow with them")
	flags.Float64SliceVar(&r.sizes.loads, "load", []float64{0},
		"with rates that ask for this share of the fleet's capacity")
}

// labSizes are what a day is played at, each with each; 0: as the file says.
type labSizes struct {
	nodes, servers []int
	loads          []float64
}

// all returns all combinations.
func (s *labSizes) all() (list []lab.Size) {
	for _, load := range s.loads {
		for _, servers := range s.servers {
			for _, nodes := range s.nodes {
				list = append(list, lab.Size{Nodes: nodes, Servers: servers, Load: load})
			}
		}
	}
	return list
}

// playAtSizes plays one day at all sizes.
func (r *labRun) playAtSizes(path string) (passed bool, err error) {
	return allPass(r.sizes.all(), func(size lab.Size) (bool, error) { return r.play(path, size) })
}

// play plays one day and prints it; passed: it holds what its file states.
func (r *labRun) play(path string, size lab.Size) (passed bool, err error) {
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
	lab.Table(r.out, outcomes)
	r.printComparison(e, outcomes)
	broken := e.Verdict(program)
	printBroken(r.out, broken)
	if r.sheet != "" {
		if err := writeSheet(r.sheet, outcomes); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(r.out, "digest %s\n\n", program.Digest())
	return len(broken) == 0, nil
}

// experimentAt reads a day. At a size other than its file's it states no service, which is for the file's size; its
// rules stay.
func experimentAt(path string, size lab.Size) (*lab.Experiment, error) {
	e, err := loadExperiment(path)
	if err != nil || size == (lab.Size{}) {
		return e, err
	}
	if e, err = e.At(size); err != nil {
		return nil, err
	}
	e.Service = 0
	return e, nil
}

// outcomes plays a day by the program, which is the first, and by the ways that the flags name.
func (r *labRun) outcomes(e *lab.Experiment) ([]*lab.Outcome, error) {
	seeds := max(1, *r.seeds)
	var list []*lab.Outcome
	for _, way := range lab.Ways(r.peers) {
		o, err := lab.Run(e, way.Name, way.With, seeds)
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	if r.deal > 0 {
		dealt := *e
		dealt.Day.PledgeDuration = r.deal
		o, err := lab.Run(&dealt, "dealt", fleetsim.Program, seeds)
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	return list, nil
}

// printComparison prints the program's service over that of the other ways, and how soon it has recovered.
func (r *labRun) printComparison(e *lab.Experiment, outcomes []*lab.Outcome) {
	program, others := outcomes[0], outcomes[1:]
	if *r.seeds > 1 {
		for _, o := range others {
			fmt.Fprintf(r.out, "service of the program over %s: %v\n", o.Who, lab.Compare(o, program))
		}
	}
	at, ok := e.Return()
	if !ok || !r.peers {
		return
	}
	for _, o := range outcomes {
		if o.Who == "oracle" {
			t := lab.Recovered(program, o, at, 0.5, 0.9, 0.99)
			fmt.Fprintf(r.out, "from the first server's return to 50, 90 and 99 %% of what the oracle serves: %v, %v, %v\n",
				t[0], t[1], t[2])
		}
	}
}

// writeSheet writes the service of each second to a CSV file.
func writeSheet(path string, outcomes []*lab.Outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(lab.CSV(f, outcomes), f.Close())
}
