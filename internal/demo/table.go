package demo

import (
	"fmt"
	"strings"
)

// Widths of the columns of the table in characters.
const (
	titleWidth    = 42
	endpointWidth = 8
	outcomeWidth  = 7
)

// printHeader prints the header line above the figures of a phase.
func (d *demo) printHeader(title string) {
	var b strings.Builder
	for _, e := range d.endpoints {
		fmt.Fprintf(&b, "%*s", endpointWidth, e.Name)
	}
	fmt.Fprintf(d.Out, "%-*s %s   served refused failed\n", titleWidth, title, b.String())
}

// figures are the counts from which a row of the table is computed.
type figures struct {
	requests []int64 // number of received requests, by endpoint
	outcomes [3]int64
}

// figures returns the counts since the start of the demo.
func (d *demo) figures() (f figures) {
	for _, e := range d.endpoints {
		f.requests = append(f.requests, int64(e.Count()))
	}
	c := &d.counters
	f.outcomes = [...]int64{c.served.Load(), c.rejected.Load(), c.failed.Load()}
	return f
}

// printRow prints the difference between the current counts and the earlier ones.
func (d *demo) printRow(before figures) {
	now := d.figures()
	var b strings.Builder
	for i, n := range now.requests {
		fmt.Fprintf(&b, "%*d", endpointWidth, n-before.requests[i])
	}
	b.WriteString("  ")
	for i, n := range now.outcomes {
		fmt.Fprintf(&b, "%*d", outcomeWidth, n-before.outcomes[i])
	}
	fmt.Fprintf(d.Out, "%-*s %s\n", titleWidth, "", b.String())
}

// printSummary prints the result and the violated rules.
func (d *demo) printSummary() {
	r := &d.result
	fmt.Fprintf(d.Out, "\n%d requests: %d served, %d refused (safe to retry), %d failed; %d late.\n",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Late)
	fmt.Fprintf(d.Out, "%d attempts reached an endpoint, %d of them repeats that their class allows.\n", r.Deliveries, r.Repeats)
	if len(r.Violations) == 0 {
		fmt.Fprintln(d.Out,
			"Rules kept: one answer in time for each request; no payment twice; no request to the drained box after 500 ms.")
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(d.Out, "RULE BROKEN:", violation)
	}
}

// printOptionSummary prints the counts of the external processor and of the TLS key replacement, if they are used.
func (d *demo) printOptionSummary() {
	if p := d.processor; p != nil {
		fmt.Fprintf(d.Out, "a proxy in front asked the program about each request: %d requests carried, %d picked\n",
			p.Stats.Forwarded.Load(), p.Stats.Picked.Load())
	}
	if k := d.keys; k != nil {
		fmt.Fprintf(d.Out, "%d answers over HTTP/2 and TLS; the keys were replaced %d times during the demo\n",
			k.http2Answers.Load(), k.store.Changes()-1)
	}
}
