package cluster

import (
	"math"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Config)
		want   string // part of the error; "" for no error
	}{
		"good":             {func(*Config) {}, ""},
		"no name":          {func(c *Config) { c.Name = "" }, "name: is missing"},
		"long name":        {func(c *Config) { c.Name = strings.Repeat("x", MaxNameBytes+1) }, "name: is longer"},
		"name with space":  {func(c *Config) { c.Name = "a b" }, "character"},
		"none":             {func(c *Config) { c.Endpoints = nil }, "names no servers"},
		"none, meant":      {func(c *Config) { c.Endpoints, c.AllowEmpty = nil, true }, ""},
		"some, meant none": {func(c *Config) { c.AllowEmpty = true }, "no_servers: 3 servers are named"},
		"shrink":           {func(c *Config) { c.ShrinkTo = 3 }, ""},
		"shrink, not so":   {func(c *Config) { c.ShrinkTo = 2 }, "shrink_to: says 2"},
		"no id":            {func(c *Config) { c.Endpoints[1].ID = "" }, "endpoint 2: id: is missing"},
		"id twice": {
			func(c *Config) { c.Endpoints[2].ID = "s-00000" },
			"endpoint 3 (s-00000): id: is endpoint 1's",
		},
		"address twice": {
			func(c *Config) { c.Endpoints[2].Address = c.Endpoints[0].Address },
			"endpoint 3 (s-00002): address: 10.0.0.1:80 is endpoint 1's",
		},
		"no address":         {func(c *Config) { c.Endpoints[0].Address = "" }, "address: is missing"},
		"no port":            {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1" }, "not of the form host:port"},
		"port 0":             {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1:0" }, "1 to 65535"},
		"port 70000":         {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1:70000" }, "1 to 65535"},
		"no host":            {func(c *Config) { c.Endpoints[0].Address = ":80" }, "no host"},
		"weight NaN":         {func(c *Config) { c.Endpoints[0].Weight = math.NaN() }, "weight: NaN"},
		"weight negative":    {func(c *Config) { c.Endpoints[0].Weight = -1 }, "weight: -1"},
		"weight huge":        {func(c *Config) { c.Endpoints[0].Weight = 1e7 }, "weight: 1e+07"},
		"weight infinite":    {func(c *Config) { c.Endpoints[0].Weight = math.Inf(1) }, "weight: +Inf"},
		"cell negative":      {func(c *Config) { c.Endpoints[0].Cell = -1 }, "cell: -1"},
		"started negative":   {func(c *Config) { c.Endpoints[0].StartedMs = -1 }, "started_ms"},
		"zone long":          {func(c *Config) { c.Endpoints[0].Zone = strings.Repeat("z", MaxNameBytes+1) }, "zone"},
		"too many":           {func(c *Config) { c.Endpoints = make([]Endpoint, MaxEndpoints+1) }, "at most 20000"},
		"everything at once": {func(c *Config) { c.Endpoints = make([]Endpoint, 1000) }, "is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			config := newConfig("rooms", endpoints(3))
			c.change(config)
			err := config.Check(func(i int, _ string) int { return 10 + i })
			text := ""
			if err != nil {
				text = err.Error()
			}
			switch {
			case c.want == "" && err != nil:
				t.Errorf("got error %v, want none", err)
			case !strings.Contains(text, c.want), c.want != "" && !strings.Contains(text, "rooms.toml:"):
				t.Errorf("got error %v, want one that contains %q and the file", err, c.want)
			case strings.Count(text, "\n") > 30:
				t.Errorf("got %d lines of errors, want at most 30", strings.Count(text, "\n"))
			}
		})
	}
}
