package lab

import (
	"fmt"
	"slices"

	"yokestall/internal/fleetsim"
)

// Size is what an experiment is played at in place of what its file has; zero leaves a thing as it is.
type Size struct {
	Nodes   int
	Servers int
	Load    float64 // share of the fleet's capacity that is asked for on average
}

// AtSize returns the experiment at another size. Faults keep their share of the nodes and servers. Rates grow with the
// servers, so that the load stays, unless the size has a load. The error says which bound of a day the size exceeds.
func (e *Experiment) AtSize(size Size) (*Experiment, error) {
	resized := *e
	d := &resized.Day
	d.Classes, d.Troubles = slices.Clone(d.Classes), slices.Clone(d.Troubles)
	if size.Nodes > 0 {
		scaleFaults(d.Troubles, true, d.Nodes, size.Nodes)
		d.Nodes = size.Nodes
	}
	if size.Servers > 0 {
		scaleFaults(d.Troubles, false, d.Servers, size.Servers)
		d.Servers = size.Servers
	}
	load := e.Load()
	if size.Load > 0 {
		load = size.Load
	}
	factor := load / resized.Load()
	for i := range d.Classes {
		d.Classes[i].Rate *= factor
	}
	if err := resized.checkSize(); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Name, err)
	}
	return &resized, nil
}

// scaleFaults changes the indexes of faults of nodes, or of servers, from one number of them to another. Each fault has
// at least one.
func scaleFaults(faults []fleetsim.Trouble, ofNodes bool, from, to int) {
	for i := range faults {
		t := &faults[i]
		if t.Nodes != ofNodes {
			continue
		}
		t.First, t.Last = t.First*to/from, (t.Last+1)*to/from-1
		t.Last = max(t.First, t.Last)
	}
}

// checkSize reports a bound of a day that the experiment exceeds.
func (e *Experiment) checkSize() error {
	d := &e.Day
	requests := 0.0
	for _, c := range d.Classes {
		requests += c.Rate * d.Length.Seconds() * d.Load.Max()
	}
	switch {
	case d.Nodes < 1 || d.Nodes > MaxNodes:
		return fmt.Errorf("%d nodes are not from 1 to %d", d.Nodes, MaxNodes)
	case d.Servers < 1 || d.Servers > MaxServers:
		return fmt.Errorf("%d servers are not from 1 to %d", d.Servers, MaxServers)
	case requests > MaxRequests:
		return fmt.Errorf("%.0f requests in all; %d at most", requests, MaxRequests)
	}
	return nil
}
