package lab

import (
	"runtime"
	"slices"
	"sync"

	"yokestall/internal/fleetsim"
)

// Run plays an experiment with one way to decide, over so many seeds, on all cores. The result doesn't
// depend on how many there are.
func Run(e *Experiment, who string, with fleetsim.MakeDecider, seeds int) (*Outcome, error) {
	o := &Outcome{Who: who, Seeds: make([]*fleetsim.Result, seeds)}
	errs := make([]error, seeds)
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var run sync.WaitGroup
	for i := range seeds {
		places <- struct{}{}
		run.Go(func() {
			defer func() { <-places }()
			o.Seeds[i], errs[i] = fleetsim.Play(&e.Day, e.Seed+uint64(i), with)
		})
	}
	run.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Way is a way to decide, by name.
type Way struct {
	Name string
	With fleetsim.MakeDecider
}

// Ways gives the program and, where wanted, those it is compared with, in the order of their names.
func Ways(peers bool) []Way {
	list := []Way{{"program", fleetsim.Program}}
	if peers {
		for name, with := range fleetsim.Peers {
			list = append(list, Way{name, with})
		}
		slices.SortFunc(list[1:], func(x, y Way) int {
			if x.Name < y.Name {
				return -1
			}
			return 1
		})
	}
	return list
}
