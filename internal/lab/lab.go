// Package lab plays experiments: a day of a fleet, written in a file, in virtual time
// (internal/fleetsim), over several seeds, beside peers; and compares two of them.
package lab

import (
	"crypto/sha256"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

// Experiment is a file's day, with what is expected of it.
type Experiment struct {
	Name, Says string
	Seed       uint64
	Day        fleetsim.Day
	Service    float64       // the least that is expected
	Faults     []fleet.Fault // of processes and their links, when played on sockets
}

type file struct {
	Name    string          `toml:"name"`
	Says    string          `toml:"says"`
	Seed    uint64          `toml:"seed"`
	Length  config.Duration `toml:"length"`
	Nodes   int             `toml:"nodes"`
	Servers int             `toml:"servers"`
	Delay   config.Duration `toml:"delay"`
	News    config.Duration `toml:"news"`
	Lead    float64         `toml:"lead"`
	Kind    struct {
		Cores        int             `toml:"cores"`
		Speed        float64         `toml:"speed"`
		Queue        int             `toml:"queue"`
		Crowd        float64         `toml:"crowd"`
		ColdFrom     float64         `toml:"cold_from"`
		ColdFor      config.Duration `toml:"cold_for"`
		FallMultiple float64         `toml:"fall_multiple"`
		FallFor      config.Duration `toml:"fall_for"`
		Window       config.Duration `toml:"window"`
	} `toml:"kind"`
	Limits struct {
		Attempts      int             `toml:"attempts"`
		SecondCopies  bool            `toml:"second_copies"`
		Cancel        bool            `toml:"cancel"`
		MaxRetryAfter config.Duration `toml:"max_retry_after"`
	} `toml:"limits"`
	Class []struct {
		Name      string          `toml:"name"`
		Effect    string          `toml:"effect"`
		Window    config.Duration `toml:"window"`
		Deadline  config.Duration `toml:"deadline"`
		Aim       config.Duration `toml:"aim"`
		Worth     float64         `toml:"worth"`
		LateWorth float64         `toml:"late_worth"`
		Work      config.Duration `toml:"work"`
		CV        float64         `toml:"cv"`
		Tail      float64         `toml:"tail"`
		Rate      float64         `toml:"rate"`
	} `toml:"class"`
	Clients struct {
		Retries int             `toml:"retries"`
		Wait    config.Duration `toml:"wait"`
		Honest  float64         `toml:"honest"`
		Align   config.Duration `toml:"align"`
	} `toml:"clients"`
	Load []struct {
		At    config.Duration `toml:"at"`
		Value float64         `toml:"value"`
	} `toml:"load"`
	Trouble []struct {
		From   config.Duration `toml:"from"`
		To     config.Duration `toml:"to"`
		First  int             `toml:"first"`
		Last   int             `toml:"last"`
		Down   bool            `toml:"down"`
		Drain  bool            `toml:"drain"`
		Nodes  bool            `toml:"nodes"`
		Slow   float64         `toml:"slow"`
		Silent bool            `toml:"silent"`
		Fail   float64         `toml:"fail"`
		Knows  bool            `toml:"knows"`
		Small  float64         `toml:"smaller"`
		Holds  bool            `toml:"holds"`
	} `toml:"trouble"`
	Fault []struct {
		From    config.Duration `toml:"from"`
		To      config.Duration `toml:"to"`
		Kind    string          `toml:"kind"`
		Nodes   []int           `toml:"nodes"`
		Servers []int           `toml:"servers"`
		By      config.Duration `toml:"by"`
		Rate    int             `toml:"rate"`
	} `toml:"fault"`
	Expect struct {
		Service float64 `toml:"service"`
	} `toml:"expect"`
}

// Bounds of a day.
const (
	MaxRequests = 50_000_000
	MaxNodes    = 1000
	MaxServers  = 10_000
)

// Parse reads an experiment. name is what messages call the file.
func Parse(name string, text []byte) (*Experiment, error) {
	f := file{Seed: 1, Nodes: 1}
	f.Kind.Cores, f.Kind.Speed, f.Kind.Queue = 1, 1, 32
	f.Limits.Attempts = 3
	f.Delay.Duration, f.News.Duration = 300*time.Microsecond, 500*time.Millisecond
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	report, faults := config.Reporter(name, text)
	number := func(table string, index int, key string, v, least, most float64) {
		if math.IsNaN(v) || v < least || v > most {
			report(table, index, key, "%v is not from %v to %v", v, least, most)
		}
	}
	span := func(table string, index int, key string, d config.Duration, least, most time.Duration) {
		if d.Duration < least || d.Duration > most {
			report(table, index, key, "%v is not from %v to %v", d, least, most)
		}
	}
	span("", -1, "length", f.Length, time.Second, 24*time.Hour)
	span("", -1, "delay", f.Delay, 0, time.Second)
	span("", -1, "news", f.News, 0, time.Minute)
	number("", -1, "nodes", float64(f.Nodes), 1, MaxNodes)
	number("", -1, "servers", float64(f.Servers), 1, MaxServers)
	k := &f.Kind
	number("kind", -1, "cores", float64(k.Cores), 1, 1024)
	number("kind", -1, "speed", k.Speed, 0.001, 1000)
	number("kind", -1, "queue", float64(k.Queue), 0, 1e6)
	number("kind", -1, "crowd", k.Crowd, 0, 100)
	number("kind", -1, "fall_multiple", k.FallMultiple, 0, 1e6)
	if k.ColdFor.Duration > 0 || k.ColdFrom != 0 {
		number("kind", -1, "cold_from", k.ColdFrom, 0.001, 1)
	}
	for key, d := range map[string]config.Duration{"cold_for": k.ColdFor, "fall_for": k.FallFor, "window": k.Window} {
		span("kind", -1, key, d, 0, time.Hour)
	}
	number("limits", -1, "attempts", float64(f.Limits.Attempts), 1, 16)
	span("limits", -1, "max_retry_after", f.Limits.MaxRetryAfter, 0, time.Hour)
	number("clients", -1, "retries", float64(f.Clients.Retries), 0, 100)
	number("clients", -1, "honest", f.Clients.Honest, 0, 1)
	number("", -1, "lead", f.Lead, 0, 1)
	span("clients", -1, "align", f.Clients.Align, 0, time.Minute)
	span("clients", -1, "wait", f.Clients.Wait, 0, time.Hour)
	number("expect", -1, "service", f.Expect.Service, 0, 1)
	e := &Experiment{Name: f.Name, Says: f.Says, Seed: f.Seed, Service: f.Expect.Service}
	e.Day = fleetsim.Day{
		Length: f.Length.Duration, Nodes: f.Nodes, Servers: f.Servers, Delay: f.Delay.Duration, News: f.News.Duration,
		Kind: model.Kind{
			Cores: k.Cores, Speed: k.Speed, Queue: k.Queue, Crowd: k.Crowd, ColdFrom: k.ColdFrom, ColdFor: k.ColdFor.Duration,
			FallMultiple: k.FallMultiple, FallFor: k.FallFor.Duration, Window: k.Window.Duration,
		},
		Clients:  fleetsim.Clients{Retries: f.Clients.Retries, Wait: f.Clients.Wait.Duration, Honest: f.Clients.Honest, Align: f.Clients.Align.Duration},
		Lead:     f.Lead,
		Settings: policy.Defaults(),
	}
	s := &e.Day.Settings
	s.Tick = 0
	s.Limits = policy.Limits{
		MaxAttempts: f.Limits.Attempts, AllowHedging: f.Limits.SecondCopies, AllowCancel: f.Limits.Cancel, MaxRetryAfter: f.Limits.MaxRetryAfter.Duration,
	}
	if k.ColdFrom > 0 {
		s.Rules.SlowStartMinCapacity, s.Rules.SlowStartWindow = k.ColdFrom, k.ColdFor.Duration
	}
	if k.FallMultiple > 0 {
		s.Rules.OverloadMultiple, s.Rules.OverloadDuration = k.FallMultiple, k.FallFor.Duration
	}
	if n := len(f.Class); n == 0 || n > config.MaxClasses {
		report("class", -1, "", "%d classes; 1 to %d", n, config.MaxClasses)
	}
	effects := map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NotIdempotent}
	asked := 0.0
	for i, c := range f.Class {
		effect, ok := effects[c.Effect]
		if !ok {
			report("class", i, "effect", "%q is none of safe, keyed, unsafe", c.Effect)
		}
		if effect == policy.IdempotentByKey && c.Window.Duration <= 0 {
			report("class", i, "window", "a keyed class needs one")
		}
		span("class", i, "deadline", c.Deadline, 20*time.Millisecond, time.Hour)
		span("class", i, "aim", c.Aim, 0, max(0, c.Deadline.Duration))
		span("class", i, "work", c.Work, time.Microsecond, time.Hour)
		number("class", i, "rate", c.Rate, 0.001, 1e6)
		number("class", i, "cv", c.CV, 0, 10)
		number("class", i, "tail", c.Tail, 0, 1)
		number("class", i, "worth", c.Worth, 0, 1e6)
		number("class", i, "late_worth", c.LateWorth, 0, 1)
		if c.Worth == 0 {
			c.Worth = 1
		}
		asked += c.Rate * f.Length.Seconds()
		e.Day.Classes = append(e.Day.Classes, fleetsim.Class{
			Name: c.Name, Work: c.Work.Duration, Rate: c.Rate, Spread: model.Spread{CV: c.CV, Tail: c.Tail},
			Class: policy.Class{
				Deadline: c.Deadline.Duration, LatencyObjective: c.Aim.Duration, PriorityWeight: c.Worth, LateWeight: c.LateWorth, Idempotency: effect, DedupWindow: c.Window.Duration,
			},
		})
	}
	last := time.Duration(-1)
	for i, p := range f.Load {
		number("load", i, "value", p.Value, 0, 1000)
		if p.At.Duration <= last {
			report("load", i, "at", "%v is not behind the one before", p.At)
		}
		last = p.At.Duration
		e.Day.Load = append(e.Day.Load, model.Point{At: p.At.Duration, Value: p.Value})
	}
	if asked *= e.Day.Load.Max(); asked > MaxRequests {
		report("class", -1, "rate", "%.0f requests in all; %d at most", asked, MaxRequests)
	}
	for i, t := range f.Trouble {
		if t.To.Duration <= t.From.Duration || t.From.Duration < 0 || t.From.Duration >= f.Length.Duration {
			report("trouble", i, "to", "from %v to %v is no time of the day", t.From, t.To)
		}
		of, what := f.Servers, "servers"
		if t.Nodes {
			of, what = f.Nodes, "nodes"
		}
		if t.First < 0 || t.Last < t.First || t.Last >= of {
			report("trouble", i, "last", "%s %d to %d are not among the %d, from 0", what, t.First, t.Last, of)
		}
		kinds := 0
		for _, on := range []bool{t.Down, t.Drain, t.Nodes, t.Slow != 0 || t.Silent || t.Fail != 0, t.Holds} {
			if on {
				kinds++
			}
		}
		if kinds != 1 {
			report("trouble", i, "", "one of down, drain, nodes, holds, or slow, silent and fail is wanted")
		}
		if t.Knows && !t.Nodes {
			report("trouble", i, "knows", "it is of nodes alone")
		}
		if t.Small != 0 && !t.Down && !t.Drain {
			report("trouble", i, "smaller", "it is of servers that are down or drain")
		}
		number("trouble", i, "smaller", t.Small, 0, 1)
		number("trouble", i, "slow", t.Slow, 0, 1e4)
		number("trouble", i, "fail", t.Fail, 0, 1)
		e.Day.Troubles = append(e.Day.Troubles, fleetsim.Trouble{
			From: t.From.Duration, To: t.To.Duration, First: t.First, Last: t.Last, Down: t.Down, Drain: t.Drain, Nodes: t.Nodes,
			Knows: t.Knows, Smaller: t.Small, Holds: t.Holds,
			With: model.Trouble{Slow: t.Slow, Silent: t.Silent, Fail: t.Fail},
		})
	}
	for i, t := range f.Fault {
		fault := fleet.Fault{From: t.From.Duration, To: t.To.Duration, Kind: fleet.Kind(t.Kind), Nodes: t.Nodes, Servers: t.Servers, By: t.By.Duration, Rate: t.Rate}
		if err := fault.Check(f.Nodes, f.Servers, f.Length.Duration); err != nil {
			key, what, _ := strings.Cut(err.Error(), ": ")
			report("fault", i, key, "%s", what)
		}
		e.Faults = append(e.Faults, fault)
	}
	if err := faults(); err != nil {
		return nil, err
	}
	return e, nil
}

// Load is how much of the fleet's capacity the day asks for, on average.
func (e *Experiment) Load() float64 {
	work := 0.0
	for _, c := range e.Day.Classes {
		work += c.Rate * c.Work.Seconds() * (1 + 9*c.Spread.Tail)
	}
	return work / (float64(e.Day.Servers*e.Day.Kind.Cores) * e.Day.Kind.Speed)
}

// Outcome is what became of an experiment with one way to decide.
type Outcome struct {
	Who   string
	Seeds []*fleetsim.Result
}

// Run plays an experiment with one way to decide, over so many seeds, on all cores. The result doesn't
// depend on how many there are.
func Run(e *Experiment, who string, with fleetsim.MakeDecider, seeds int) (*Outcome, error) {
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
		for _, b := range r.Broken() {
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
		fmt.Fprint(h, r.Sends, r.Copies, r.Strays, r.Twice, r.Fallen, r.Events, r.Seconds)
		for _, t := range r.Classes {
			fmt.Fprint(h, t.Asked, t.InAim, t.Late, t.Refused, t.Failed, t.Worth, t.Times.ValueAtQuantile(99))
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:6])
}

// Counts gives how many requests were asked, how many ended in any way, and how many in time.
func (o *Outcome) Counts() (asked, ended, inAim int64) {
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			asked, inAim = asked+t.Asked, inAim+t.InAim
			ended += t.InAim + t.Late + t.Refused + t.Failed
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
