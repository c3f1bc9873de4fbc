package lab

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/fleetsim"
)

// Size is what a day can be played at in place of what its file says; zero leaves a thing as it is.
type Size struct {
	Nodes   int
	Servers int     // troubles keep their share of them
	Load    float64 // share of the fleet's capacity that is asked for on average
}

// At gives the day at another size. Rates grow with the servers, so that the load stays where Size has none.
func (e *Experiment) At(to Size) (*Experiment, error) {
	c := *e
	d := &c.Day
	d.Classes, d.Faults = slices.Clone(d.Classes), slices.Clone(d.Faults)
	if n := d.Nodes; to.Nodes > 0 && to.Nodes != n {
		for i := range d.Faults {
			if t := &d.Faults[i]; t.Nodes {
				t.First, t.Last = t.First*to.Nodes/n, max(t.First*to.Nodes/n, (t.Last+1)*to.Nodes/n-1)
			}
		}
		d.Nodes = to.Nodes
	}
	load := e.Load()
	if n := d.Servers; to.Servers > 0 && to.Servers != n {
		for i := range d.Faults {
			t := &d.Faults[i]
			if t.Nodes {
				continue
			}
			t.First, t.Last = t.First*to.Servers/n, max(t.First*to.Servers/n, (t.Last+1)*to.Servers/n-1)
		}
		d.Servers = to.Servers
	}
	if to.Load > 0 {
		load = to.Load
	}
	factor := load / c.Load()
	asked := 0.0
	for i := range d.Classes {
		d.Classes[i].Rate *= factor
		asked += d.Classes[i].Rate * d.Length.Seconds() * d.Load.Max()
	}
	switch {
	case d.Nodes < 1 || d.Nodes > MaxNodes:
		return nil, fmt.Errorf("%s: %d nodes are not from 1 to %d", e.Name, d.Nodes, MaxNodes)
	case d.Servers < 1 || d.Servers > MaxServers:
		return nil, fmt.Errorf("%s: %d servers are not from 1 to %d", e.Name, d.Servers, MaxServers)
	case asked > MaxRequests:
		return nil, fmt.Errorf("%s: %.0f requests in all; %d at most", e.Name, asked, MaxRequests)
	}
	return &c, nil
}

// Way is a way to decide, by name.
type Way struct {
	Name string
	With fleetsim.DeciderFactory
}

// Ways gives the program and, where wanted, those it is compared with, in the order of their names.
func Ways(peers bool) []Way {
	list := []Way{{"program", fleetsim.NewBalancer}}
	if peers {
		for name, with := range fleetsim.Baselines {
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

// Recovered is how long after a moment o earned so many shares of what the oracle earned, each for the first time over
// half a second, means over the seeds; negative: never.
func Recovered(o, oracle *Outcome, from time.Duration, shares ...float64) []time.Duration {
	const step, window = 100 * time.Millisecond, 5
	sum := func(o *Outcome, at int) (earned float64) {
		for _, r := range o.Seeds {
			for _, e := range r.WeightByTenth[at : at+window] {
				earned += e
			}
		}
		return earned
	}
	first := int(from / step)
	var list []time.Duration
	for _, share := range shares {
		found := time.Duration(-1)
		for at := first; at+window <= len(o.Seeds[0].WeightByTenth)-1; at++ {
			if could := sum(oracle, at); could > 0 && sum(o, at) >= share*could {
				found = time.Duration(at-first) * step
				break
			}
		}
		list = append(list, found)
	}
	return list
}

// Return is when the first server that a power cut took is back; false: none is.
func (e *Experiment) Return() (at time.Duration, ok bool) {
	for _, t := range e.Day.Faults {
		if t.Down && !t.Nodes && t.To < e.Day.Length && (!ok || t.To < at) {
			at, ok = t.To, true
		}
	}
	return at, ok
}
