package demo

import (
	"fmt"
	"strings"
)

// The widths of the table's columns, in characters.
const (
	titleWidth    = 42
	endpointWidth = 8
	outcomeWidth  = 7
)

// printHeader prints the line above a phase's figures.
func (d *demo) printHeader(title string) {
	var b strings.Builder
	for _, e := range d.endpoints {
		fmt.Fprintf(&b, "%*s", endpointWidth, e.Name)
	}
	fmt.Fprintf(d.Out, "%-*s %s   served refused failed\n", titleWidth, title, b.String())
}

// figures are the counts of a row.
type figures struct {
	requests []int64 // by endpoint
	outcomes [3]int64
}

// figures returns the counts so far.
func (d *demo) figures() (f figures) {
	for _, e := range d.endpoints {
		f.requests = append(f.requests, int64(e.Count()))
	}
	c := &d.counters
	f.outcomes = [...]int64{c.served.Load(), c.rejected.Load(), c.failed.Load()}
	return f
}

// printRow prints the counts since the ones before.
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

// printSummary prints the result.
func (d *demo) printSummary() {
	r := &d.result
	fmt.Fprintf(d.Out, "\n%d requests: %d served, %d refused (safe to try again), %d failed; %d late.\n",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Late)
	fmt.Fprintf(d.Out, "%d reached a box, %d of them copies that their class allows.\n", r.Deliveries, r.Repeats)
	if len(r.Violations) == 0 {
		fmt.Fprintln(d.Out,
			"Rules kept: one answer each, in time; no payment twice; nothing to the drained box after 500 ms.")
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(d.Out, "RULE BROKEN:", violation)
	}
}

// printOptionSummary prints what the external processor and the TLS keys did.
func (d *demo) printOptionSummary() {
	if p := d.processor; p != nil {
		fmt.Fprintf(d.Out, "a proxy in front asked the program about each: %d requests carried, %d picked\n",
			p.Stats.Forwarded.Load(), p.Stats.Picked.Load())
	}
	if k := d.keys; k != nil {
		fmt.Fprintf(d.Out, "%d answers over HTTP/2 and TLS; the keys were replaced %d times meanwhile\n",
			k.http2Answers.Load(), k.store.Changes()-1)
	}
}
