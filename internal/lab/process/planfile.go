package process

import (
	"os"
	"slices"
	"time"

	"yokestall/internal/config"
)

// ReadPlan reads the plan in the file at path and parses it with ParsePlan.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// defaultSettleWindow is Plan.SettleWindow if the plan's file doesn't set it.
const defaultSettleWindow = 4 * time.Second

// ParsePlan parses and checks the text of a plan's file. Errors begin with name and, if the fault is in a line, its number.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := Plan{SettleWindow: config.Duration{Duration: defaultSettleWindow}}
	if err := config.Decode(name, text, &p); err != nil {
		return nil, err
	}
	report, problems := config.Reporter(name, text)
	c := &checker{report: report}
	c.checkSizes(p.Sizes)
	c.checkSlopes(p.Slopes, p.Sizes)
	c.checkDurations(&p)
	c.checkChanges(p.SettingsChanges)
	if err := problems(); err != nil {
		return nil, err
	}
	return &p, nil
}

// checker reports the values of a plan that are not allowed.
type checker struct {
	report func(table string, index int, key, format string, args ...any)
}

func (c *checker) checkSizes(sizes []Size) {
	if len(sizes) == 0 {
		c.report("size", -1, "", "the plan has no [[size]], so that nothing would be measured")
	}
	known := map[string]bool{}
	for i, s := range sizes {
		if s.Name == "" || known[s.Name] {
			c.report("size", i, "name", "must be set and differ from the names of the other sizes")
		}
		known[s.Name] = true
		c.checkRange(i, "services", s.Services, 1, maxServices)
		c.checkRange(i, "servers", s.Servers, 1, maxServers)
		c.checkRange(i, "routes", s.Routes, s.Services, maxRoutes)
		c.checkRange(i, "tenants", s.Tenants, 0, maxTenants)
		c.checkRange(i, "nodes", s.Nodes, 1, maxNodes)
	}
}

// checkRange reports a value of size i that is not from least to most.
func (c *checker) checkRange(i int, key string, value, least, most int) {
	if value < least || value > most {
		c.report("size", i, key, "%d is not from %d to %d", value, least, most)
	}
}

func (c *checker) checkSlopes(slopes []Slope, sizes []Size) {
	for i, s := range slopes {
		if dimensions[s.Dimension] == nil {
			c.report("slope", i, "per", "%q is not one of services, routes and tenants", s.Dimension)
		}
		if len(s.Sizes) < minFitPoints {
			c.report("slope", i, "sizes", "%d sizes, a slope with a residual needs at least %d", len(s.Sizes), minFitPoints)
		}
		for _, name := range s.Sizes {
			if !slices.ContainsFunc(sizes, func(size Size) bool { return size.Name == name }) {
				c.report("slope", i, "sizes", "%q is not the name of a [[size]]", name)
			}
		}
	}
}

func (c *checker) checkDurations(p *Plan) {
	for key, d := range map[string]config.Duration{
		"server_time": p.ServerDelay, "load": p.LoadDuration, "rest": p.IdleDuration, "settle": p.SettleWindow,
	} {
		if d.Duration < 0 || d.Duration > maxDuration {
			c.report("", -1, key, "%v is not from 0 to %v", d.Duration, maxDuration)
		}
	}
}

func (c *checker) checkChanges(totals []int) {
	last := 0
	for _, n := range totals {
		if n <= last {
			c.report("", -1, "changes", "%d is not greater than the total before it, %d", n, last)
		}
		last = n
	}
}
