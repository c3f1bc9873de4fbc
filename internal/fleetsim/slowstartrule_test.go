package fleetsim

import (
	"fmt"
	"math"
	"time"

	"yokestall/policy"
)

// slowStartRule checks the work that servers that are warming up get from all nodes together. If the settings allow N
// requests of mean work in Rules.OverloadDuration, a server is overloaded by more than N + 2*sqrt(N) + 2. The rule is
// violated if, at the first overload after a start, over two thirds of the work came from nodes that had this start in
// their endpoint lists.
type slowStartRule struct {
	scenario   *Scenario
	meanWork   float64 // seconds
	starts     map[serverStart]*slowStartLoad
	count      int     // number of starts after which the server got requests while warming up
	maxLoad    float64 // maximum load in Rules.OverloadDuration, as a share of the load that overloads a server
	violations []string
}

// serverStart is one start of a server.
type serverStart struct {
	server policy.EndpointID
	at     time.Duration
}

// slowStartLoad is the recent load on a server after a start.
type slowStartLoad struct {
	window     []slowStartAttempt // attempts in the last Rules.OverloadDuration
	overloaded bool
}

type slowStartAttempt struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // the node had the start of the server in its endpoint list
}

func newSlowStartRule(scenario *Scenario) *slowStartRule {
	rate, work := 0.0, 0.0
	for _, c := range scenario.Classes {
		rate += c.Rate
		work += c.Rate * c.Work.Seconds() * (1 + 9*c.Spread.TailProbability)
	}
	return &slowStartRule{scenario: scenario, meanWork: work / rate, starts: map[serverStart]*slowStartLoad{}}
}

// allowed returns the number of requests of mean work that the settings allow in Rules.OverloadDuration for a server with
// this share of its capacity.
func (r *slowStartRule) allowed(share float64) float64 {
	k, rules := &r.scenario.ServerKind, &r.scenario.Settings.Rules
	multiple, duration := rules.OverloadMultiple, rules.OverloadDuration.Seconds()
	return multiple * float64(k.Cores) * k.Speed * share * duration / r.meanWork
}

// addAttempt adds an attempt that is sent to a server and checks the rule. It ignores servers that are not warming up.
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
	if got <= bound || load.overloaded {
		return
	}
	load.overloaded = true
	if byInformed {
		r.violations = append(r.violations, fmt.Sprintf(
			"server %d was overloaded %v after its start: got %.1f requests, limit %.1f, %.0f %% from nodes that knew the start",
			m.id, now-m.startedAt, got, bound, 100*fromInformed/got))
	}
}

// add adds an attempt and removes attempts that are older than the given duration.
func (l *slowStartLoad) add(a slowStartAttempt, duration time.Duration) {
	l.window = append(l.window, a)
	for l.window[0].at <= a.at-duration {
		l.window = l.window[1:]
	}
}

// sum returns the work of all attempts and the work of the attempts from informed nodes.
func (l *slowStartLoad) sum() (all, informed float64) {
	for _, a := range l.window {
		all += a.work
		if a.informed {
			informed += a.work
		}
	}
	return all, informed
}

// observedDecider wraps a Decider and the Host of its node, and passes each attempt to a rule.
type observedDecider struct {
	Decider
	policy.Host
	rule   *slowStartRule
	starts map[policy.EndpointID]time.Duration // start times of the servers in the endpoint list of the node
}

// observe returns a factory of deciders whose attempts the rule checks.
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
