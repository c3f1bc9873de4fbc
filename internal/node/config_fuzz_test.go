package node

import (
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// FuzzParseConfig checks that a configuration is either rejected or usable: the policy accepts its settings, the
// split of descriptors is within the limit, and durations are in range.
func FuzzParseConfig(f *testing.F) {
	complete := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":256},` +
		`"known":{"generation":3,"reset":true,` +
		`"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Ready"}]},
"settings":` + settingsText + `}`
	f.Add([]byte(complete))
	f.Add([]byte(complete[:len(complete)/2]))
	f.Add([]byte(`{"settings":{}}`))
	f.Add([]byte(`{"settings":{"Classes":[{"Name":"a","DeadlineMs":1e300}]}}`))
	f.Add([]byte(`{"limits":{"sockets":64},"settings":{"Contract":{"DrainGraceMs":0},"Limits":{"ConnIdleMs":0.5}}}`))
	f.Add([]byte(`{"limits":{"sockets":9223372036854775807},"settings":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parseConfig(text)
		if err != nil {
			return
		}
		if _, err := policy.New(c.Policy, c.Seed, host{}); err != nil {
			return // the policy rejects the settings
		}
		upstream, clients, err := c.splitDescriptors(c.Limits.Sockets)
		if err == nil && (upstream < 1 || upstream+clients.Active+clients.New+clients.Overflow+ownDescriptors > c.Limits.Sockets) {
			t.Errorf("%d descriptors are split into %d for servers and %+v for clients", c.Limits.Sockets, upstream, clients)
		}
		if c.DrainGrace < 0 || c.ConnIdle <= 0 || c.ConnectTimeout <= 0 || c.longestDeadline() <= 0 ||
			planShutdown(c.longestDeadline()).total > maxCountedDeadline+shutdownAfterDeadline {
			t.Errorf("out of range: drain grace %v, idle time %v, connect timeout %v or longest deadline %v",
				c.DrainGrace, c.ConnIdle, c.ConnectTimeout, c.longestDeadline())
		}
		for _, d := range []time.Duration{c.DrainGrace, c.ConnIdle, c.ConnectTimeout} {
			if d > maxConnDuration {
				t.Errorf("duration %v is longer than a day", d)
			}
		}
		if newEndpointWatcher(c, engine.NewClock(), nil, nil).timing.MaxCalls < 2 {
			t.Error("the timing allows no hedged call: MaxCalls is below 2")
		}
	})
}

// host is the policy.Host of a Balancer that gets no requests. It ignores timers.
type host struct{ policy.Host }

func (host) SetTimer(time.Duration, uint64) {}
