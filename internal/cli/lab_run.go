package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

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
		if e, err = e.At(size); err != nil {
			return false, err
		}
		e.Service = 0
	}
	var list []*lab.Outcome
	for _, way := range lab.Ways(peers) {
		o, err := lab.Run(e, way.Name, way.With, max(1, seeds))
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
	lab.Table(out, list)
	for _, o := range list[1:] {
		if seeds > 1 {
			fmt.Fprintf(out, "service of the program over %s: %v\n", o.Who, lab.Compare(o, list[0]))
		}
	}
	if at, ok := e.Return(); ok && peers {
		for _, o := range list {
			if o.Who == "oracle" {
				t := lab.Recovered(list[0], o, at, 0.5, 0.9, 0.99)
				fmt.Fprintf(out, "from the first server's return to 50, 90 and 99 %% of what the oracle serves: %v, %v, %v\n", t[0], t[1], t[2])
			}
		}
	}
	faults := e.Verdict(list[0])
	for _, f := range faults {
		fmt.Fprintln(out, "NOT HELD:", f)
	}
	if sheet != "" {
		f, err := os.Create(sheet)
		if err != nil {
			return false, err
		}
		if err := errors.Join(lab.CSV(f, list), f.Close()); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(out, "digest %s\n\n", list[0].Digest())
	return len(faults) == 0, nil
}
