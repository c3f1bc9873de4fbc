package lab

import (
	"fmt"
	"slices"

	"yokestall/internal/fleetsim"
)

// Size overrides the number of nodes, the number of servers and the load of an experiment's file. A field of 0 leaves
// the file's value.
type Size struct {
	Nodes   int
	Servers int
	Load    float64 // average work of the requests as a share of the servers' capacity; see Experiment.Load
}

// AtSize returns the experiment at another size. Each fault keeps its share of the nodes or servers. The classes' rates
// are scaled with the number of servers, so that the load stays the same, or to size.Load if that is set. The error says
// which bound of a day is exceeded.
func (e *Experiment) AtSize(size Size) (*Experiment, error) {
	resized := *e
	d := &resized.Day
	d.Classes, d.Faults = slices.Clone(d.Classes), slices.Clone(d.Faults)
	if size.Nodes > 0 {
		scaleFaults(d.Faults, true, d.Nodes, size.Nodes)
		d.Nodes = size.Nodes
	}
	if size.Servers > 0 {
		scaleFaults(d.Faults, false, d.Servers, size.Servers)
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

// scaleFaults scales the indexes of the faults of nodes, or of servers, from one number of nodes or servers to another.
// Each fault still affects at least one node or server.
func scaleFaults(faults []fleetsim.Fault, ofNodes bool, from, to int) {
	for i := range faults {
		t := &faults[i]
		if t.Nodes != ofNodes {
			continue
		}
		t.First, t.Last = t.First*to/from, (t.Last+1)*to/from-1
		t.Last = max(t.First, t.Last)
	}
}

// checkSize returns an error if the experiment exceeds a bound of a day.
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
		return fmt.Errorf("the day has %.0f requests in total; the maximum is %d", requests, MaxRequests)
	}
	return nil
}
