package lab

import (
	"fmt"
	"slices"
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
	d.Classes, d.Troubles = slices.Clone(d.Classes), slices.Clone(d.Troubles)
	if n := d.Nodes; to.Nodes > 0 && to.Nodes != n {
		for i := range d.Troubles {
			if t := &d.Troubles[i]; t.Nodes {
				t.First, t.Last = t.First*to.Nodes/n, max(t.First*to.Nodes/n, (t.Last+1)*to.Nodes/n-1)
			}
		}
		d.Nodes = to.Nodes
	}
	load := e.Load()
	if n := d.Servers; to.Servers > 0 && to.Servers != n {
		for i := range d.Troubles {
			t := &d.Troubles[i]
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
