package fleetsim

import (
	"fmt"
	"math"
	"time"

	"yokestall/policy"
)

// slowStartRule checks what servers that warm up get from all nodes together. With N requests of mean work allowed by
// the settings in Rules.OverloadDuration, a server falls over at more than N + 2 x root of N + 2. The rule is broken at
// a server's first fall of which over two thirds came from nodes that had its start in their lists.
type slowStartRule struct {
	scenario *Scenario
	meanWork float64 // seconds
	starts   map[serverStart]*slowStartLoad
	count    int     // starts that got requests while the server warmed up
	maxLoad  float64 // of a server in Rules.OverloadDuration, as a share of what it falls over at
	broken   []string
}

// serverStart is one start of a server.
type serverStart struct {
	server policy.EndpointID
	at     time.Duration
}

// slowStartLoad is what a server got since one start.
type slowStartLoad struct {
	window []slowStartAttempt // of the last Rules.OverloadDuration
	fell   bool
}

type slowStartAttempt struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // its node had the start in its list
}

func newSlowStartRule(scenario *Scenario) *slowStartRule {
	rate, work := 0.0, 0.0
	for _, c := range scenario.Classes {
		rate += c.Rate
		work += c.Rate * c.Work.Seconds() * (1 + 9*c.Spread.TailProbability)
	}
	return &slowStartRule{scenario: scenario, meanWork: work / rate, starts: map[serverStart]*slowStartLoad{}}
}

// allowed is how many requests of mean work the settings allow in Rules.OverloadDuration to a server with this share of
// its capacity.
func (r *slowStartRule) allowed(share float64) float64 {
	k, rules := &r.scenario.ServerKind, &r.scenario.Settings.Rules
	multiple, duration := rules.OverloadMultiple, rules.OverloadDuration.Seconds()
	return multiple * float64(k.Cores) * k.Speed * share * duration / r.meanWork
}

// addAttempt checks an attempt that is sent to a server.
func (r *slowStartRule) addAttempt(now time.Duration, m *fleetServer, work time.Duration, informed bool) {
	share := m.CapacityShare(now)
	if !m.Running() || share >= 1 || m.startedAt == 0 {
		return
	}
	key := serverStart{m.id, m.startedAt}
	load := r.starts[key]
	if load == nil {
		load = &slowStartLoad{}
		r.starts[key] = load
		r.count++
	}
	load.add(slowStartAttempt{now, work.Seconds() / r.meanWork, informed}, r.scenario.Settings.Rules.OverloadDuration)
	got, fromInformed := load.sum()
	n := r.allowed(share)
	bound := n + 2*math.Sqrt(n) + 2
	byInformed := fromInformed > 2*got/3
	if byInformed {
		r.maxLoad = max(r.maxLoad, got/bound)
	}
	if got <= bound || load.fell {
		return
	}
	load.fell = true
	if byInformed {
		r.broken = append(r.broken, fmt.Sprintf(
			"server %d fell over %v after its start: %.1f requests, %.1f allowed, %.0f %% by nodes that had its start",
			m.id, now-m.startedAt, got, bound, 100*fromInformed/got))
	}
}

// add adds an attempt, and removes those that are older than a duration.
func (l *slowStartLoad) add(a slowStartAttempt, duration time.Duration) {
	l.window = append(l.window, a)
	for l.window[0].at <= a.at-duration {
		l.window = l.window[1:]
	}
}

// sum returns the work of all attempts, and that of informed nodes.
func (l *slowStartLoad) sum() (all, informed float64) {
	for _, a := range l.window {
		all += a.work
		if a.informed {
			informed += a.work
		}
	}
	return all, informed
}

// observedDecider is a Decider, and the Host between it and its node, that shows a rule each attempt.
type observedDecider struct {
	Decider
	policy.Host
	rule   *slowStartRule
	starts map[policy.EndpointID]time.Duration // as in the node's list
}

// observe makes deciders whose attempts the rule checks.
func (r *slowStartRule) observe(newDecider DeciderFactory) DeciderFactory {
	return func(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
		d := &observedDecider{Host: host, rule: r, starts: map[policy.EndpointID]time.Duration{}}
		var err error
		d.Decider, err = newDecider(set, seed, d)
		return d, err
	}
}

// Send implements policy.Host.
func (d *observedDecider) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	n := d.Host.(*node)
	r, server := n.requests[id], n.serverIndex(endpoint)
	if r != nil && !r.answered && server >= 0 {
		m := n.servers[server]
		d.rule.addAttempt(n.now, m, r.client.work, d.starts[endpoint] == m.startedAt)
	}
	d.Host.Send(id, endpoint, timeout)
}

// UpdateEndpoints implements Decider.
func (d *observedDecider) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) {
	for _, e := range entries {
		d.starts[e.ID] = e.StartedAt
	}
	d.Decider.UpdateEndpoints(now, kind, entries)
}
