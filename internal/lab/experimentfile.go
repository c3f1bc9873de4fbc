package lab

import (
	"math"
	"strings"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

// Bounds of a day.
const (
	MaxRequests = 50_000_000
	MaxNodes    = 1000
	MaxServers  = 10_000
)

// noIndex is the index of a table that a file has once.
const noIndex = -1

// file is an experiment's file.
type file struct {
	Name    string           `toml:"name"`
	Says    string           `toml:"says"`
	Seed    uint64           `toml:"seed"`
	Length  config.Duration  `toml:"length"`
	Nodes   int              `toml:"nodes"`
	Servers int              `toml:"servers"`
	Delay   config.Duration  `toml:"delay"`
	News    config.Duration  `toml:"news"`
	Lead    float64          `toml:"lead"`
	Kind    kindSection      `toml:"kind"`
	Limits  limitsSection    `toml:"limits"`
	Class   []classSection   `toml:"class"`
	Clients clientsSection   `toml:"clients"`
	Load    []loadSection    `toml:"load"`
	Trouble []troubleSection `toml:"trouble"`
	Fault   []faultSection   `toml:"fault"`
	Expect  struct {
		Service float64 `toml:"service"`
	} `toml:"expect"`
}

// kindSection is the model of a server.
type kindSection struct {
	Cores        int             `toml:"cores"`
	Speed        float64         `toml:"speed"`
	Queue        int             `toml:"queue"`
	Crowd        float64         `toml:"crowd"`
	ColdFrom     float64         `toml:"cold_from"`
	ColdFor      config.Duration `toml:"cold_for"`
	FallMultiple float64         `toml:"fall_multiple"`
	FallFor      config.Duration `toml:"fall_for"`
	Window       config.Duration `toml:"window"`
}

// limitsSection is the policy's limits.
type limitsSection struct {
	Attempts      int             `toml:"attempts"`
	SecondCopies  bool            `toml:"second_copies"`
	Cancel        bool            `toml:"cancel"`
	MaxRetryAfter config.Duration `toml:"max_retry_after"`
}

// classSection is a class of requests.
type classSection struct {
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
}

// clientsSection is what clients do with a rejection.
type clientsSection struct {
	Retries int             `toml:"retries"`
	Wait    config.Duration `toml:"wait"`
	Honest  float64         `toml:"honest"`
	Align   config.Duration `toml:"align"`
}

// loadSection is a point of the load's curve.
type loadSection struct {
	At    config.Duration `toml:"at"`
	Value float64         `toml:"value"`
}

// troubleSection is a fault of some servers or nodes, in the model.
type troubleSection struct {
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
}

// faultSection is a fault of processes and their links.
type faultSection struct {
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Kind    string          `toml:"kind"`
	Nodes   []int           `toml:"nodes"`
	Servers []int           `toml:"servers"`
	By      config.Duration `toml:"by"`
	Rate    int             `toml:"rate"`
}

// defaultFile returns the values of keys that a file does not have.
func defaultFile() file {
	f := file{Seed: 1, Nodes: 1}
	f.Kind.Cores, f.Kind.Speed, f.Kind.Queue = 1, 1, 32
	f.Limits.Attempts = 3
	f.Delay.Duration, f.News.Duration = 300*time.Microsecond, 500*time.Millisecond
	return f
}

// parser checks an experiment's file, a section a method, and translates it.
type parser struct {
	file       file
	experiment *Experiment
	// report adds an error about a key of a table. index is the table's, from 0, or noIndex.
	report func(table string, index int, key, format string, args ...any)
}

// Parse parses an experiment. name is the file's in messages. The error joins a *cluster.Problem for each fault.
func Parse(name string, text []byte) (*Experiment, error) {
	f := defaultFile()
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	report, joinedErrors := config.Reporter(name, text)
	p := &parser{
		file:       f,
		experiment: &Experiment{Name: f.Name, Says: f.Says, Seed: f.Seed, Service: f.Expect.Service},
		report:     report,
	}
	p.checkDay()
	p.checkKind()
	p.checkLimitsAndClients()
	p.setDay()
	p.setSettings()
	p.setClasses()
	p.setLoad()
	p.checkRequests()
	p.setTroubles()
	p.setFaults()
	if err := joinedErrors(); err != nil {
		return nil, err
	}
	return p.experiment, nil
}

// checkNumber reports a number that is not between two bounds.
func (p *parser) checkNumber(table string, index int, key string, v, least, most float64) {
	if math.IsNaN(v) || v < least || v > most {
		p.report(table, index, key, "%v is not from %v to %v", v, least, most)
	}
}

// checkDuration reports a duration that is not between two bounds.
func (p *parser) checkDuration(table string, index int, key string, d config.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		p.report(table, index, key, "%v is not from %v to %v", d, least, most)
	}
}

func (p *parser) checkDay() {
	f := &p.file
	p.checkDuration("", noIndex, "length", f.Length, time.Second, 24*time.Hour)
	p.checkDuration("", noIndex, "delay", f.Delay, 0, time.Second)
	p.checkDuration("", noIndex, "news", f.News, 0, time.Minute)
	p.checkNumber("", noIndex, "nodes", float64(f.Nodes), 1, MaxNodes)
	p.checkNumber("", noIndex, "servers", float64(f.Servers), 1, MaxServers)
}

func (p *parser) checkKind() {
	k := &p.file.Kind
	p.checkNumber("kind", noIndex, "cores", float64(k.Cores), 1, 1024)
	p.checkNumber("kind", noIndex, "speed", k.Speed, 0.001, 1000)
	p.checkNumber("kind", noIndex, "queue", float64(k.Queue), 0, 1e6)
	p.checkNumber("kind", noIndex, "crowd", k.Crowd, 0, 100)
	p.checkNumber("kind", noIndex, "fall_multiple", k.FallMultiple, 0, 1e6)
	if k.ColdFor.Duration > 0 || k.ColdFrom != 0 {
		p.checkNumber("kind", noIndex, "cold_from", k.ColdFrom, 0.001, 1)
	}
	p.checkDuration("kind", noIndex, "cold_for", k.ColdFor, 0, time.Hour)
	p.checkDuration("kind", noIndex, "fall_for", k.FallFor, 0, time.Hour)
	p.checkDuration("kind", noIndex, "window", k.Window, 0, time.Hour)
}

func (p *parser) checkLimitsAndClients() {
	f := &p.file
	p.checkNumber("limits", noIndex, "attempts", float64(f.Limits.Attempts), 1, 16)
	p.checkDuration("limits", noIndex, "max_retry_after", f.Limits.MaxRetryAfter, 0, time.Hour)
	p.checkNumber("clients", noIndex, "retries", float64(f.Clients.Retries), 0, 100)
	p.checkNumber("clients", noIndex, "honest", f.Clients.Honest, 0, 1)
	p.checkNumber("", noIndex, "lead", f.Lead, 0, 1)
	p.checkDuration("clients", noIndex, "align", f.Clients.Align, 0, time.Minute)
	p.checkDuration("clients", noIndex, "wait", f.Clients.Wait, 0, time.Hour)
	p.checkNumber("expect", noIndex, "service", f.Expect.Service, 0, 1)
}

// setDay sets what a day has once.
func (p *parser) setDay() {
	f, k := &p.file, &p.file.Kind
	p.experiment.Day = fleetsim.Scenario{
		Length:       f.Length.Duration,
		Nodes:        f.Nodes,
		Servers:      f.Servers,
		NetworkDelay: f.Delay.Duration,
		ListDelay:    f.News.Duration,
		ServerKind: model.Kind{
			Cores:        k.Cores,
			Speed:        k.Speed,
			Queue:        k.Queue,
			Crowd:        k.Crowd,
			ColdFrom:     k.ColdFrom,
			ColdFor:      k.ColdFor.Duration,
			FallMultiple: k.FallMultiple,
			FallFor:      k.FallFor.Duration,
			Window:       k.Window.Duration,
		},
		Clients: fleetsim.Clients{
			Retries:         f.Clients.Retries,
			Backoff:         f.Clients.Wait.Duration,
			HonorRetryAfter: f.Clients.Honest,
			AlignTo:         f.Clients.Align.Duration,
		},
		FirstNodeShare: f.Lead,
		Settings:       policy.Defaults(),
	}
}

// setSettings sets the policy's settings: its limits, and what the operators say of the servers.
func (p *parser) setSettings() {
	limits, k := &p.file.Limits, &p.file.Kind
	s := &p.experiment.Day.Settings
	s.Tick = 0
	s.Limits = policy.Limits{
		MaxAttempts:   limits.Attempts,
		AllowHedging:  limits.SecondCopies,
		AllowCancel:   limits.Cancel,
		MaxRetryAfter: limits.MaxRetryAfter.Duration,
	}
	if k.ColdFrom > 0 {
		s.Rules.SlowStartMinCapacity, s.Rules.SlowStartWindow = k.ColdFrom, k.ColdFor.Duration
	}
	if k.FallMultiple > 0 {
		s.Rules.OverloadMultiple, s.Rules.OverloadDuration = k.FallMultiple, k.FallFor.Duration
	}
}

// effects are the names of idempotency in files.
var effects = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NotIdempotent,
}

func (p *parser) setClasses() {
	if n := len(p.file.Class); n == 0 || n > config.MaxClasses {
		p.report("class", noIndex, "", "%d classes; 1 to %d", n, config.MaxClasses)
	}
	for i, c := range p.file.Class {
		effect := p.checkClass(i, &c)
		if c.Worth == 0 {
			c.Worth = 1
		}
		p.experiment.Day.Classes = append(p.experiment.Day.Classes, fleetsim.Class{
			Name:   c.Name,
			Work:   c.Work.Duration,
			Rate:   c.Rate,
			Spread: model.Spread{CV: c.CV, Tail: c.Tail},
			Class: policy.Class{
				Deadline:         c.Deadline.Duration,
				LatencyObjective: c.Aim.Duration,
				PriorityWeight:   c.Worth,
				LateWeight:       c.LateWorth,
				Idempotency:      effect,
				DedupWindow:      c.Window.Duration,
			},
		})
	}
}

// checkClass checks the class at an index, and returns its idempotency.
func (p *parser) checkClass(i int, c *classSection) policy.Idempotency {
	effect, ok := effects[c.Effect]
	if !ok {
		p.report("class", i, "effect", "%q is none of safe, keyed, unsafe", c.Effect)
	}
	if effect == policy.IdempotentByKey && c.Window.Duration <= 0 {
		p.report("class", i, "window", "a keyed class needs one")
	}
	p.checkDuration("class", i, "deadline", c.Deadline, 20*time.Millisecond, time.Hour)
	p.checkDuration("class", i, "aim", c.Aim, 0, max(0, c.Deadline.Duration))
	p.checkDuration("class", i, "work", c.Work, time.Microsecond, time.Hour)
	p.checkNumber("class", i, "rate", c.Rate, 0.001, 1e6)
	p.checkNumber("class", i, "cv", c.CV, 0, 10)
	p.checkNumber("class", i, "tail", c.Tail, 0, 1)
	p.checkNumber("class", i, "worth", c.Worth, 0, 1e6)
	p.checkNumber("class", i, "late_worth", c.LateWorth, 0, 1)
	return effect
}

func (p *parser) setLoad() {
	last := time.Duration(-1)
	for i, point := range p.file.Load {
		p.checkNumber("load", i, "value", point.Value, 0, 1000)
		if point.At.Duration <= last {
			p.report("load", i, "at", "%v is not behind the one before", point.At)
		}
		last = point.At.Duration
		p.experiment.Day.Load = append(p.experiment.Day.Load, model.Point{At: last, Value: point.Value})
	}
}

// checkRequests reports a day with too many requests.
func (p *parser) checkRequests() {
	requests := 0.0
	for _, c := range p.file.Class {
		requests += c.Rate * p.file.Length.Seconds()
	}
	if requests *= p.experiment.Day.Load.Max(); requests > MaxRequests {
		p.report("class", noIndex, "rate", "%.0f requests in all; %d at most", requests, MaxRequests)
	}
}

func (p *parser) setTroubles() {
	for i, t := range p.file.Trouble {
		p.checkTrouble(i, &t)
		p.experiment.Day.Faults = append(p.experiment.Day.Faults, fleetsim.Fault{
			From:            t.From.Duration,
			To:              t.To.Duration,
			First:           t.First,
			Last:            t.Last,
			Down:            t.Down,
			Drain:           t.Drain,
			Nodes:           t.Nodes,
			RestoreSnapshot: t.Knows,
			RestartSpeed:    t.Small,
			BufferReplies:   t.Holds,
			Impairment:      model.Trouble{Slow: t.Slow, Silent: t.Silent, Fail: t.Fail},
		})
	}
}

// checkTrouble checks the fault at an index.
func (p *parser) checkTrouble(i int, t *troubleSection) {
	f := &p.file
	if t.To.Duration <= t.From.Duration || t.From.Duration < 0 || t.From.Duration >= f.Length.Duration {
		p.report("trouble", i, "to", "from %v to %v is no time of the day", t.From, t.To)
	}
	count, what := f.Servers, "servers"
	if t.Nodes {
		count, what = f.Nodes, "nodes"
	}
	if t.First < 0 || t.Last < t.First || t.Last >= count {
		p.report("trouble", i, "last", "%s %d to %d are not among the %d, from 0", what, t.First, t.Last, count)
	}
	kinds := 0
	for _, set := range []bool{t.Down, t.Drain, t.Nodes, t.Slow != 0 || t.Silent || t.Fail != 0, t.Holds} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		p.report("trouble", i, "", "one of down, drain, nodes, holds, or slow, silent and fail is wanted")
	}
	if t.Knows && !t.Nodes {
		p.report("trouble", i, "knows", "it is of nodes alone")
	}
	if t.Small != 0 && !t.Down && !t.Drain {
		p.report("trouble", i, "smaller", "it is of servers that are down or drain")
	}
	p.checkNumber("trouble", i, "smaller", t.Small, 0, 1)
	p.checkNumber("trouble", i, "slow", t.Slow, 0, 1e4)
	p.checkNumber("trouble", i, "fail", t.Fail, 0, 1)
}

func (p *parser) setFaults() {
	f := &p.file
	for i, t := range f.Fault {
		fault := fleet.Fault{
			From:    t.From.Duration,
			To:      t.To.Duration,
			Kind:    fleet.FaultKind(t.Kind),
			Nodes:   t.Nodes,
			Servers: t.Servers,
			Latency: t.By.Duration,
			Rate:    t.Rate,
		}
		if err := fault.Check(f.Nodes, f.Servers, f.Length.Duration); err != nil {
			key, what, _ := strings.Cut(err.Error(), ": ")
			p.report("fault", i, key, "%s", what)
		}
		p.experiment.Faults = append(p.experiment.Faults, fault)
	}
}
