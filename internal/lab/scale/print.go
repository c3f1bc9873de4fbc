package scale

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes a summary of the figures: the properties of the run, a table of all series, and the late nodes of each
// step.
func (f *Figures) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: sizes %v, %d voters, %d serve processes, TLS %v, lease %s\n",
		f.Name, f.Sizes, f.Voters, f.ServeProcesses, f.TLS, f.Lease)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tunit\tat each size\tslope\tintercept\tresidual\tR2")
	for _, key := range slices.Sorted(maps.Keys(f.Series)) {
		s := f.Series[key]
		values := ""
		for _, p := range s.Points {
			values += fmt.Sprintf("%v ", p.Value)
		}
		if s.Fit == nil {
			fmt.Fprintf(t, "%s\t%s\t%s\t\t\t\t\n", key, s.Unit, values)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%.1f %%\t%v\n",
			key, s.Unit, values, s.Fit.Slope, s.Fit.Intercept, 100*s.Fit.Relative, s.Fit.R2)
	}
	t.Flush()
	for _, late := range f.Late {
		fmt.Fprintf(out, "LATE NODES at %d nodes, step %s: %d, by region %v, such as %v\n",
			late.Size, late.Step, late.Count, late.ByRegion, late.Nodes)
	}
}
