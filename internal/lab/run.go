package lab

import (
	"cmp"
	"runtime"
	"slices"
	"sync"

	"yokestall/internal/fleetsim"
)

// Decider is a way to decide, with the name that tables give it.
type Decider struct {
	Name string
	Make fleetsim.MakeDecider
}

// Deciders returns the program and, with peers, the deciders that it is compared with, by name.
func Deciders(peers bool) []Decider {
	list := []Decider{{"program", fleetsim.Program}}
	if !peers {
		return list
	}
	for name, makeDecider := range fleetsim.Peers {
		list = append(list, Decider{name, makeDecider})
	}
	slices.SortFunc(list[1:], func(x, y Decider) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// Run plays an experiment with one decider, over so many seeds from the experiment's own on, on all cores. The outcome
// doesn't depend on the number of cores. name is the outcome's. The error is that of the first seed that has one.
func Run(e *Experiment, name string, makeDecider fleetsim.MakeDecider, seeds int) (*Outcome, error) {
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
