package process

import (
	"os"
	"time"

	"yokestall/internal/config"
)

// ReadPlan reads a plan's file.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan reads a plan. Faults are told by file and line.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := Plan{SettleWindow: config.Duration{Duration: 4 * time.Second}}
	if err := config.Decode(name, text, &p); err != nil {
		return nil, err
	}
	report, faults := config.Reporter(name, text)
	within := func(index int, key string, value, least, most int) {
		if value < least || value > most {
			report("size", index, key, "%d is not from %d to %d", value, least, most)
		}
	}
	if len(p.Sizes) == 0 {
		report("size", -1, "", "no [[size]]: nothing would be measured")
	}
	known := map[string]bool{}
	for i, s := range p.Sizes {
		if s.Name == "" || known[s.Name] {
			report("size", i, "name", "wants a name of its own")
		}
		known[s.Name] = true
		within(i, "services", s.Services, 1, maxServices)
		within(i, "servers", s.Servers, 1, maxServers)
		within(i, "routes", s.Routes, s.Services, maxRoutes)
		within(i, "tenants", s.Tenants, 0, maxTenants)
		within(i, "nodes", s.Nodes, 1, 100_000)
	}
	for i, s := range p.Slopes {
		if dimensions[s.Dimension] == nil {
			report("slope", i, "per", "%q is none of services, routes, tenants", s.Dimension)
		}
		if len(s.Sizes) < 3 {
			report("slope", i, "sizes", "%d sizes; a slope with a residual wants 3", len(s.Sizes))
		}
		for _, size := range s.Sizes {
			if !known[size] {
				report("slope", i, "sizes", "%q is no [[size]]", size)
			}
		}
	}
	for key, d := range map[string]config.Duration{"server_time": p.ServerDelay, "load": p.LoadDuration, "rest": p.RestDuration, "settle": p.SettleWindow} {
		if d.Duration < 0 || d.Duration > maxWindow {
			report("", -1, key, "%v is not from 0 to %v", d.Duration, maxWindow)
		}
	}
	last := 0
	for _, n := range p.SettingsChanges {
		if n <= last {
			report("", -1, "changes", "%d does not go up from %d", n, last)
		}
		last = n
	}
	if err := faults(); err != nil {
		return nil, err
	}
	return &p, nil
}
