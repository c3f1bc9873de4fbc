package lab

import (
	"cmp"
	"runtime"
	"slices"
	"sync"

	"yokestall/internal/fleetsim"
)

// Decider makes the deciders of a simulation. Name is its name in tables.
type Decider struct {
	Name string
	Make fleetsim.DeciderFactory
}

// Deciders returns the program and, if peers is set, the baselines after it, in the order of their names.
func Deciders(peers bool) []Decider {
	list := []Decider{{"program", fleetsim.NewBalancer}}
	if !peers {
		return list
	}
	for name, makeDecider := range fleetsim.Baselines {
		list = append(list, Decider{name, makeDecider})
	}
	slices.SortFunc(list[1:], func(x, y Decider) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// Run simulates an experiment with one decider once for each of a number of consecutive seeds, beginning with the
// experiment's own seed, on all cores. The outcome has the given name and doesn't depend on the number of cores. The
// error is that of the first seed that failed.
func Run(e *Experiment, name string, makeDecider fleetsim.DeciderFactory, seeds int) (*Outcome, error) {
	o := &Outcome{Name: name, Seeds: make([]*fleetsim.Result, seeds)}
	errs := make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var plays sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		plays.Go(func() {
			defer func() { <-slots }()
			o.Seeds[i], errs[i] = fleetsim.Play(&e.Day, e.Seed+uint64(i), makeDecider)
		})
	}
	plays.Wait()
	if err := cmp.Or(errs...); err != nil {
		return nil, err
	}
	return o, nil
}
