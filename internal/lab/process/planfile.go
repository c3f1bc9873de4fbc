package process

import (
	"os"
	"slices"
	"time"

	"yokestall/internal/config"
)

// ReadPlan reads a plan's file, as ParsePlan does.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// defaultSettleWindow is a plan's SettleWindow where its file has none.
const defaultSettleWindow = 4 * time.Second

// ParsePlan reads a plan's file. Its errors begin with name and a line number.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := Plan{SettleWindow: config.Duration{Duration: defaultSettleWindow}}
	if err := config.Decode(name, text, &p); err != nil {
		return nil, err
	}
	report, faults := config.Reporter(name, text)
	c := &checker{report: report}
	c.sizes(p.Sizes)
	c.slopes(p.Slopes, p.Sizes)
	c.durations(&p)
	c.changes(p.SettingsChanges)
	if err := faults(); err != nil {
		return nil, err
	}
	return &p, nil
}

// checker reports the values of a plan that are out of bounds.
type checker struct {
	report func(table string, index int, key, format string, args ...any)
}

func (c *checker) sizes(sizes []Size) {
	if len(sizes) == 0 {
		c.report("size", -1, "", "no [[size]]: nothing would be measured")
	}
	known := map[string]bool{}
	for i, s := range sizes {
		if s.Name == "" || known[s.Name] {
			c.report("size", i, "name", "wants a name of its own")
		}
		known[s.Name] = true
		c.count(i, "services", s.Services, 1, maxServices)
		c.count(i, "servers", s.Servers, 1, maxServers)
		c.count(i, "routes", s.Routes, s.Services, maxRoutes)
		c.count(i, "tenants", s.Tenants, 0, maxTenants)
		c.count(i, "nodes", s.Nodes, 1, maxNodes)
	}
}

// count checks a value of size i.
func (c *checker) count(i int, key string, value, least, most int) {
	if value < least || value > most {
		c.report("size", i, key, "%d is not from %d to %d", value, least, most)
	}
}

func (c *checker) slopes(slopes []Slope, sizes []Size) {
	for i, s := range slopes {
		if dimensions[s.Dimension] == nil {
			c.report("slope", i, "per", "%q is none of services, routes, tenants", s.Dimension)
		}
		if len(s.Sizes) < minFitPoints {
			c.report("slope", i, "sizes", "%d sizes; a slope with a residual wants %d", len(s.Sizes), minFitPoints)
		}
		for _, name := range s.Sizes {
			if !slices.ContainsFunc(sizes, func(size Size) bool { return size.Name == name }) {
				c.report("slope", i, "sizes", "%q is no [[size]]", name)
			}
		}
	}
}

func (c *checker) durations(p *Plan) {
	for key, d := range map[string]config.Duration{
		"server_time": p.ServerDelay, "load": p.LoadDuration, "rest": p.RestDuration, "settle": p.SettleWindow,
	} {
		if d.Duration < 0 || d.Duration > maxWindow {
			c.report("", -1, key, "%v is not from 0 to %v", d.Duration, maxWindow)
		}
	}
}

func (c *checker) changes(totals []int) {
	last := 0
	for _, n := range totals {
		if n <= last {
			c.report("", -1, "changes", "%d does not go up from %d", n, last)
		}
		last = n
	}
}
