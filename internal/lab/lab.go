// Package lab plays experiments: a day of a fleet, written in a file, in virtual time
// (internal/fleetsim), over several seeds, beside peers; and compares two of them.
package lab

import (
	"crypto/sha256"
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
)

// Experiment is a file's day, with what is expected of it.
type Experiment struct {
	Name, Says string
	Seed       uint64
	Day        fleetsim.Scenario
	Service    float64       // the least that is expected
	Faults     []fleet.Fault // of processes and their links, when played on sockets
}

// Load is how much of the fleet's capacity the day asks for, on average.
func (e *Experiment) Load() float64 {
	work := 0.0
	for _, c := range e.Day.Classes {
		work += c.Rate * c.Work.Seconds() * (1 + 9*c.Spread.Tail)
	}
	return work / (float64(e.Day.Servers*e.Day.ServerKind.Cores) * e.Day.ServerKind.Speed)
}

// Outcome is what became of an experiment with one way to decide.
type Outcome struct {
	Who   string
	Seeds []*fleetsim.Result
}

// Run plays an experiment with one way to decide, over so many seeds, on all cores. The result doesn't
// depend on how many there are.
func Run(e *Experiment, who string, with fleetsim.DeciderFactory, seeds int) (*Outcome, error) {
	o := &Outcome{Who: who, Seeds: make([]*fleetsim.Result, seeds)}
	errs := make([]error, seeds)
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var run sync.WaitGroup
	for i := range seeds {
		places <- struct{}{}
		run.Go(func() {
			defer func() { <-places }()
			o.Seeds[i], errs[i] = fleetsim.Play(&e.Day, e.Seed+uint64(i), with)
		})
	}
	run.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Service is the mean over the seeds.
func (o *Outcome) Service() float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.Service()
	}
	return sum / float64(len(o.Seeds))
}

// Broken tells which rules were, over all seeds.
func (o *Outcome) Broken() (list []string) {
	for i, r := range o.Seeds {
		for _, b := range r.Violations() {
			list = append(list, fmt.Sprintf("seed %d: %s", i, b))
		}
	}
	slices.Sort(list)
	return list
}

// Digest tells results apart: the same day with the same seeds has the same one.
func (o *Outcome) Digest() string {
	h := sha256.New()
	for _, r := range o.Seeds {
		fmt.Fprint(h, r.Attempts, r.ExtraAttempts, r.AttemptsAfterDrain, r.DuplicateEffects, r.OverloadedServers, r.Events, r.ServiceBySecond)
		for _, t := range r.Classes {
			fmt.Fprint(h, t.Requests, t.WithinObjective, t.Late, t.Rejected, t.Failed, t.EarnedWeight, t.Latencies.ValueAtQuantile(99))
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:6])
}

// Counts gives how many requests were asked, how many ended in any way, and how many in time.
func (o *Outcome) Counts() (asked, ended, inAim int64) {
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			asked, inAim = asked+t.Requests, inAim+t.WithinObjective
			ended += t.WithinObjective + t.Late + t.Rejected + t.Failed
		}
	}
	return asked, ended, inAim
}

type sums struct {
	asked, late, refused, failed, sends, copies int64
	times                                       *hdrhistogram.Histogram
	share                                       float64
}

func (o *Outcome) sums() (s sums) {
	s.times = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			s.asked, s.late, s.refused, s.failed = s.asked+t.Requests, s.late+t.Late, s.refused+t.Rejected, s.failed+t.Failed
			s.times.Merge(t.Latencies)
		}
		s.sends, s.copies, s.share = s.sends+r.Attempts, s.copies+r.ExtraAttempts, max(s.share, r.MaxServerShare)
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
			fell += r.OverloadedServers
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
	for i := range list[0].Seeds[0].ServiceBySecond {
		row := []string{strconv.Itoa(i)}
		for _, o := range list {
			sum := 0.0
			for _, r := range o.Seeds {
				sum += r.ServiceBySecond[i]
			}
			row = append(row, strconv.FormatFloat(sum/float64(len(o.Seeds)), 'f', 4, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}

// Difference is how much more service b gave than a, seed by seed, with the bounds of a 95 % confidence
// interval by bootstrap over the seeds (Efron, 1979).
type Difference struct{ Mean, Low, High float64 }

// Seen tells whether there is one.
func (d Difference) Seen() bool { return d.Low > 0 || d.High < 0 }

func (d Difference) String() string {
	if !d.Seen() {
		return fmt.Sprintf("no difference seen (%+.4f, from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
	}
	return fmt.Sprintf("%+.4f (from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
}

// Compare pairs two outcomes of the same seeds.
func Compare(a, b *Outcome) Difference {
	diff := make([]float64, len(a.Seeds))
	mean := 0.0
	for i := range diff {
		diff[i] = b.Seeds[i].Service() - a.Seeds[i].Service()
		mean += diff[i] / float64(len(diff))
	}
	const draws = 4000
	rng := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, draws)
	for i := range means {
		for range diff {
			means[i] += diff[rng.IntN(len(diff))] / float64(len(diff))
		}
	}
	slices.Sort(means)
	return Difference{mean, means[draws*25/1000], means[draws*975/1000]}
}

// Verdict gives what an experiment's outcome lacks; nil: it holds.
func (e *Experiment) Verdict(o *Outcome) (faults []string) {
	faults = o.Broken()
	if s := o.Service(); s < e.Service {
		faults = append(faults, fmt.Sprintf("service %.4f, at least %.4f is expected", s, e.Service))
	}
	return faults
}

// Summary says in a line what is played.
func (e *Experiment) Summary() string {
	d := &e.Day
	return strings.TrimSpace(fmt.Sprintf("%s: %v, %d nodes, %d servers, load %.2f. %s", e.Name, d.Length, d.Nodes, d.Servers, e.Load(), e.Says))
}
