package lab

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tableHead is the header line of the table.
const tableHead = "\tservice\tp50 ms\tp99 ms\tlate %\trejected %\tfailed %\textra attempts %\tbusiest\toverloaded\trules"

// totals holds the sums of an outcome over all seeds and classes.
type totals struct {
	requests, late, rejected, failed int64
	extraAttempts                    int64 // retries and hedged requests
	overloadedServers                int64 // number of overloads of servers that were warming up
	latencies                        *hdrhistogram.Histogram
	maxServerShare                   float64 // attempts at the busiest server over the mean of all servers, in the worst seed
}

// totals adds up the results of an outcome.
func (o *Outcome) totals() totals {
	t := totals{latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	for _, r := range o.Seeds {
		for _, c := range r.Classes {
			t.requests += c.Requests
			t.late += c.Late
			t.rejected += c.Rejected
			t.failed += c.Failed
			t.latencies.Merge(c.Latencies)
		}
		t.extraAttempts += r.ExtraAttempts
		t.overloadedServers += r.OverloadedServers
		t.maxServerShare = max(t.maxServerShare, r.MaxServerShare)
	}
	return t
}

// percent formats a count as a percentage of the requests.
func (t *totals) percent(count int64) string {
	return fmt.Sprintf("%.2f", 100*float64(count)/float64(max(1, t.requests)))
}

// milliseconds formats a percentile of the latencies in milliseconds.
func (t *totals) milliseconds(percentile float64) string {
	return fmt.Sprintf("%.1f", float64(t.latencies.ValueAtQuantile(percentile))/1000)
}

// WriteTable writes a table with a line for each outcome.
func WriteTable(out io.Writer, list []*Outcome) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, tableHead)
	for _, o := range list {
		t := o.totals()
		fmt.Fprintf(w, "%s\t%.4f\t%s\t%s\t", o.Name, o.Service(), t.milliseconds(50), t.milliseconds(99))
		fmt.Fprintf(w, "%s\t%s\t%s\t", t.percent(t.late), t.percent(t.rejected), t.percent(t.failed))
		fmt.Fprintf(w, "%s\t%.2f\t%d\t", t.percent(t.extraAttempts), t.maxServerShare, t.overloadedServers)
		fmt.Fprintln(w, rulesCell(o))
	}
	w.Flush()
}

// rulesCell formats the number of violations of an outcome; "kept" if it has none.
func rulesCell(o *Outcome) string {
	if count := len(o.Violations()); count > 0 {
		return fmt.Sprintf("%d violations", count)
	}
	return "kept"
}

// WriteCSV writes a line for each second, with a column for each outcome that holds the mean service over the seeds.
// There is at least one outcome, and all outcomes are of the same day.
func WriteCSV(out io.Writer, list []*Outcome) error {
	w := csv.NewWriter(out)
	head := []string{"second"}
	for _, o := range list {
		head = append(head, o.Name)
	}
	w.Write(head)
	for second := range list[0].Seeds[0].ServiceBySecond {
		row := []string{strconv.Itoa(second)}
		for _, o := range list {
			row = append(row, strconv.FormatFloat(o.serviceInSecond(second), 'f', 4, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}

// serviceInSecond returns the mean service over the seeds in one second.
func (o *Outcome) serviceInSecond(second int) float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.ServiceBySecond[second]
	}
	return sum / float64(len(o.Seeds))
}
