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

// tableHead is the first line of a table.
const tableHead = "\tservice\tp50 ms\tp99 ms\tlate %\trefused %\tfailed %\tcopies %\tbusiest\tfell over\trules"

// totals are the counts of an outcome, over all seeds and classes.
type totals struct {
	requests, late, rejected, failed int64
	extraAttempts                    int64 // retries and hedged requests
	overloadedServers                int64 // that were warming up
	latencies                        *hdrhistogram.Histogram
	maxServerShare                   float64 // the busiest server's attempts over the mean, in the worst seed
}

// totals adds up an outcome.
func (o *Outcome) totals() totals {
	t := totals{latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	for _, r := range o.Seeds {
		for _, c := range r.Classes {
			t.requests += c.Asked
			t.late += c.Late
			t.rejected += c.Refused
			t.failed += c.Failed
			t.latencies.Merge(c.Times)
		}
		t.extraAttempts += r.Copies
		t.overloadedServers += r.Fallen
		t.maxServerShare = max(t.maxServerShare, r.MaxShare)
	}
	return t
}

// percent formats a count as a percentage of the requests.
func (t *totals) percent(count int64) string {
	return fmt.Sprintf("%.2f", 100*float64(count)/float64(max(1, t.requests)))
}

// milliseconds formats a percentile of the latencies.
func (t *totals) milliseconds(percentile float64) string {
	return fmt.Sprintf("%.1f", float64(t.latencies.ValueAtQuantile(percentile))/1000)
}

// WriteTable writes a line for each outcome.
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

// rulesCell says whether an outcome kept the rules.
func rulesCell(o *Outcome) string {
	if count := len(o.Violations()); count > 0 {
		return fmt.Sprintf("broken in %d", count)
	}
	return "kept"
}

// WriteCSV writes the service of each second, a column for each outcome, means over the seeds. There is at least one
// outcome, and all are of the same day.
func WriteCSV(out io.Writer, list []*Outcome) error {
	w := csv.NewWriter(out)
	head := []string{"second"}
	for _, o := range list {
		head = append(head, o.Name)
	}
	w.Write(head)
	for second := range list[0].Seeds[0].Seconds {
		row := []string{strconv.Itoa(second)}
		for _, o := range list {
			row = append(row, strconv.FormatFloat(o.serviceInSecond(second), 'f', 4, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}

// serviceInSecond returns the service of one second, the mean over the seeds.
func (o *Outcome) serviceInSecond(second int) float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.Seconds[second]
	}
	return sum / float64(len(o.Seeds))
}
