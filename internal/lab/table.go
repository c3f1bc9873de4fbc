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

type sums struct {
	asked, late, refused, failed, sends, copies int64
	times                                       *hdrhistogram.Histogram
	share                                       float64
}

func (o *Outcome) sums() (s sums) {
	s.times = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			s.asked, s.late, s.refused, s.failed = s.asked+t.Asked, s.late+t.Late, s.refused+t.Refused, s.failed+t.Failed
			s.times.Merge(t.Times)
		}
		s.sends, s.copies, s.share = s.sends+r.Sends, s.copies+r.Copies, max(s.share, r.MaxShare)
	}
	return s
}

// Table writes outcomes beside one another.
func Table(out io.Writer, list []*Outcome) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tservice\tp50 ms\tp99 ms\tlate %\trefused %\tfailed %\tcopies %\tbusiest\tfell over\trules")
	for _, o := range list {
		s := o.sums()
		share := func(n int64) string { return fmt.Sprintf("%.2f", 100*float64(n)/float64(max(1, s.asked))) }
		ms := func(q float64) string { return fmt.Sprintf("%.1f", float64(s.times.ValueAtQuantile(q))/1000) }
		rules, fell := "kept", int64(0)
		if n := len(o.Broken()); n > 0 {
			rules = fmt.Sprintf("broken in %d", n)
		}
		for _, r := range o.Seeds {
			fell += r.Fallen
		}
		fmt.Fprintf(w, "%s\t%.4f\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%d\t%s\n", o.Who, o.Service(), ms(50), ms(99),
			share(s.late), share(s.refused), share(s.failed), share(s.copies), s.share, fell, rules)
	}
	w.Flush()
}

// CSV writes the service of each second, a column for each outcome, means over the seeds.
func CSV(out io.Writer, list []*Outcome) error {
	w := csv.NewWriter(out)
	head := []string{"second"}
	for _, o := range list {
		head = append(head, o.Who)
	}
	w.Write(head)
	for i := range list[0].Seeds[0].Seconds {
		row := []string{strconv.Itoa(i)}
		for _, o := range list {
			sum := 0.0
			for _, r := range o.Seeds {
				sum += r.Seconds[i]
			}
			row = append(row, strconv.FormatFloat(sum/float64(len(o.Seeds)), 'f', 4, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}
