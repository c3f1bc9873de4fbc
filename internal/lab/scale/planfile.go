package scale

import (
	"math"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fleet/lease"
)

// planFile is the content of a plan's file.
type planFile struct {
	Name            string          `toml:"name"`
	Description     string          `toml:"says"`
	Seed            uint64          `toml:"seed"`
	Timeout         config.Duration `toml:"limit"`
	Sizes           []int           `toml:"sizes"`
	NodesPerProcess int             `toml:"per_process"`
	Voters          int             `toml:"voters"`
	ServeProcesses  int             `toml:"serves"`
	Regions         int             `toml:"regions"`
	Zones           int             `toml:"zones"`
	TLS             bool            `toml:"tls"`
	Lease           config.Duration `toml:"lease"`
	MaxClockDrift   float64         `toml:"drift"`
	ApplyTimeout    config.Duration `toml:"take"`
	Content         Content         `toml:"content"`
	Steps           []stepFile      `toml:"step"`
}

// stepFile is a step in a plan's file.
type stepFile struct {
	Name        string          `toml:"name"`
	Kind        string          `toml:"kind"`
	Duration    config.Duration `toml:"length"`
	Count       int             `toml:"count"`
	Contradicts bool            `toml:"contradicts"`
	Fraction    float64         `toml:"share"`
	Zone        *int            `toml:"zone"`
	Stores      string          `toml:"stores"`
	Timeout     config.Duration `toml:"wait"`
}

// defaultPlan returns a planFile with the default values of the keys that a file may omit.
func defaultPlan() planFile {
	return planFile{
		Seed: 1, NodesPerProcess: 200, Voters: 3, Regions: 1, Zones: 1,
		Timeout:       config.Duration{Duration: 2 * time.Minute},
		Lease:         config.Duration{Duration: 1500 * time.Millisecond},
		MaxClockDrift: 0.05,
		ApplyTimeout:  config.Duration{Duration: 250 * time.Millisecond},
		Content:       Content{Clusters: 1, Servers: 4, Routes: 3},
	}
}

// defaultStepTimeout is the Timeout of a step for which the file has no wait key.
const defaultStepTimeout = 10 * time.Second

// Parse reads a plan from the text of its file. name is the file's name; errors begin with it and a line number.
func Parse(name string, text []byte) (*Plan, error) {
	f := defaultPlan()
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	report, faults := config.Reporter(name, text)
	c := &checker{report: report}
	c.plan(&f)
	p := f.plan()
	names := map[string]bool{}
	for i := range f.Steps {
		s := c.step(&f, i)
		if names[s.Name] {
			report("step", i, "name", "%q is the name of another step too; give steps of the same kind different names", s.Name)
		}
		names[s.Name] = true
		p.Steps = append(p.Steps, s)
	}
	return p, faults()
}

// plan returns the plan without its steps.
func (f *planFile) plan() *Plan {
	return &Plan{
		Name: f.Name, Description: f.Description, Seed: f.Seed, Timeout: f.Timeout.Duration,
		Sizes: f.Sizes, NodesPerProcess: f.NodesPerProcess, Voters: f.Voters, ServeProcesses: f.ServeProcesses,
		Regions: f.Regions, Zones: f.Zones, TLS: f.TLS, Content: f.Content,
		Lease: lease.Config{
			Duration: f.Lease.Duration, MaxClockDrift: f.MaxClockDrift, ApplyTimeout: f.ApplyTimeout.Duration,
		},
	}
}

// checker checks the values in a plan's file, and reports those that are invalid.
type checker struct {
	report func(table string, index int, key, format string, args ...any)
}

func (c *checker) number(table string, index int, key string, v, least, most float64) {
	if math.IsNaN(v) || v < least || v > most {
		c.report(table, index, key, "%v is not from %v to %v", v, least, most)
	}
}

func (c *checker) duration(table string, index int, key string, d config.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		c.report(table, index, key, "%v is not from %v to %v", d, least, most)
	}
}

// plan checks the whole file except the steps.
func (c *checker) plan(f *planFile) {
	if !isKeyPart(f.Name) {
		c.report("", -1, "name", "%q is not made of lower-case letters, digits and _, or begins with a digit", f.Name)
	}
	c.sizes(f)
	c.number("", -1, "per_process", float64(f.NodesPerProcess), 1, MaxNodes)
	if f.Voters != 1 && f.Voters != 3 && f.Voters != 5 && f.Voters != 7 {
		c.report("", -1, "voters", "%d is not 1, 3, 5 or 7", f.Voters)
	}
	c.number("", -1, "serves", float64(f.ServeProcesses), 0, 64)
	c.number("", -1, "regions", float64(f.Regions), 1, 8)
	c.number("", -1, "zones", float64(f.Zones), 1, 64)
	c.number("", -1, "drift", f.MaxClockDrift, 0, 0.25)
	c.duration("", -1, "limit", f.Timeout, time.Second, 2*time.Hour)
	c.duration("", -1, "lease", f.Lease, 100*time.Millisecond, time.Minute)
	c.duration("", -1, "take", f.ApplyTimeout, time.Millisecond, time.Minute)
	c.content(&f.Content)
	c.processes(f)
	if len(f.Steps) == 0 || len(f.Steps) > maxSteps {
		c.report("", -1, "step", "there are %d steps; from 1 to %d are allowed", len(f.Steps), maxSteps)
	}
}

func (c *checker) sizes(f *planFile) {
	if len(f.Sizes) == 0 || len(f.Sizes) > maxSizes {
		c.report("", -1, "sizes", "there are %d sizes; from 1 to %d are allowed", len(f.Sizes), maxSizes)
	}
	for i, n := range f.Sizes {
		c.number("", -1, "sizes", float64(n), 1, MaxNodes)
		if i > 0 && n <= f.Sizes[i-1] {
			c.report("", -1, "sizes", "%d is not greater than the preceding size %d", n, f.Sizes[i-1])
		}
	}
}

func (c *checker) content(in *Content) {
	c.number("content", -1, "clusters", float64(in.Clusters), 1, 1000)
	c.number("content", -1, "servers", float64(in.Servers), float64(in.Clusters), 100_000)
	c.number("content", -1, "routes", float64(in.Routes), float64(len(classes)), 100_000)
	c.number("content", -1, "tenants", float64(in.Tenants), 0, 1_000_000)
}

func (c *checker) processes(f *planFile) {
	if len(f.Sizes) == 0 || f.NodesPerProcess <= 0 {
		return
	}
	n := f.Voters + f.ServeProcesses + processCount(f.Sizes[len(f.Sizes)-1], f.NodesPerProcess)
	if n > MaxProcesses {
		c.report("", -1, "per_process", "the largest size needs %d processes; at most %d are allowed", n, MaxProcesses)
	}
}

// step checks step i and returns it with default values for omitted keys.
func (c *checker) step(f *planFile, i int) Step {
	in := &f.Steps[i]
	s := Step{
		Name: in.Name, Kind: Kind(in.Kind), Duration: in.Duration.Duration, Count: in.Count,
		Contradicts: in.Contradicts, Fraction: in.Fraction, Zone: -1, Timeout: in.Timeout.Duration,
	}
	if s.Name == "" {
		s.Name = in.Kind
	}
	if s.Timeout == 0 {
		s.Timeout = defaultStepTimeout
	}
	if in.Zone != nil {
		s.Zone = *in.Zone
	}
	if !slices.Contains(kinds, s.Kind) {
		c.report("step", i, "kind", "%q is none of the kinds %v", in.Kind, kinds)
		return s
	}
	if !isKeyPart(s.Name) {
		c.report("step", i, "name", "%q is not made of lower-case letters, digits and _, or begins with a digit", s.Name)
	}
	c.duration("step", i, "wait", config.Duration{Duration: s.Timeout}, time.Millisecond, 10*time.Minute)
	if s.Kind == KindIdle || s.Kind == KindPartition {
		c.duration("step", i, "length", in.Duration, 100*time.Millisecond, time.Hour)
	} else if s.Duration != 0 {
		c.report("step", i, "length", "is allowed only in steps of kind idle or apart")
	}
	if s.Kind == KindSettings || s.Kind == KindList {
		if s.Count == 0 {
			s.Count = 1
		}
		c.number("step", i, "count", float64(s.Count), 1, maxChanges)
	} else if s.Count != 0 {
		c.report("step", i, "count", "is allowed only in steps of kind settings or list")
	}
	if s.Contradicts && s.Kind != KindSettings {
		c.report("step", i, "contradicts", "is allowed only in steps of kind settings")
	}
	c.restart(f, i, &s)
	c.stores(f, i, &s)
	if (s.Kind == KindPartition || s.Kind == KindHeal) && f.Regions < 2 {
		c.report("step", i, "kind", "%s is allowed only with two or more regions", s.Kind)
	}
	return s
}

// restart checks the share and the zone of a step, which select the nodes that it restarts.
func (c *checker) restart(f *planFile, i int, s *Step) {
	in := &f.Steps[i]
	switch {
	case s.Kind != KindRestart && (s.Fraction != 0 || in.Zone != nil):
		c.report("step", i, "share", "share and zone are allowed only in steps of kind restart")
	case s.Kind == KindRestart && in.Zone == nil:
		c.number("step", i, "share", s.Fraction, 0.0001, 1)
	case s.Kind == KindRestart && s.Fraction != 0:
		c.report("step", i, "zone", "share and zone exclude each other: a step restarts one or the other, not both")
	case s.Kind == KindRestart:
		c.number("step", i, "zone", float64(s.Zone), 0, float64(f.Zones-1))
	}
}

// stores checks the stores key of a step, and sets EmptyStores if the nodes are to start without their stores.
func (c *checker) stores(f *planFile, i int, s *Step) {
	in := &f.Steps[i]
	switch {
	case in.Stores == "" || in.Stores == "kept":
	case in.Stores != "empty":
		c.report("step", i, "stores", "%q is neither kept nor empty", in.Stores)
	case s.Kind != KindRestart && s.Kind != KindRestartAll:
		c.report("step", i, "stores", "is allowed only in steps of kind restart or return")
	default:
		s.EmptyStores = true
	}
}

// isKeyPart reports whether a word may be part of a figure's key: lower-case letters, digits and "_", not beginning with
// a digit.
func isKeyPart(word string) bool {
	for i, r := range word {
		if !(r == '_' || r >= 'a' && r <= 'z' || i > 0 && r >= '0' && r <= '9') {
			return false
		}
	}
	return word != ""
}
