package lab

import (
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

// The limits of a day: its requests in total, its nodes and its servers.
const (
	MaxRequests = 50_000_000
	MaxNodes    = 1000
	MaxServers  = 10_000
)

// checkDay checks the keys before all tables.
func (p *parser) checkDay() {
	f, s := &p.file, p.section("")
	s.checkDuration("length", f.Length, time.Second, 24*time.Hour)
	s.checkDuration("delay", f.NetworkDelay, 0, time.Second)
	s.checkDuration("news", f.ListDelay, 0, time.Minute)
	s.checkNumber("nodes", float64(f.Nodes), 1, MaxNodes)
	s.checkNumber("servers", float64(f.Servers), 1, MaxServers)
}

// checkServer checks the keys of the server model.
func (p *parser) checkServer() {
	k, s := &p.file.Server, p.section("kind")
	s.checkNumber("cores", float64(k.Cores), 1, 1024)
	s.checkNumber("speed", k.Speed, 0.001, 1000)
	s.checkNumber("queue", float64(k.Queue), 0, 1e6)
	s.checkNumber("crowd", k.SlowdownPerQueuedJob, 0, 100)
	s.checkNumber("fall_multiple", k.OverloadMultiple, 0, 1e6)
	if k.SlowStartWindow.Duration > 0 || k.SlowStartCapacity != 0 {
		s.checkNumber("cold_from", k.SlowStartCapacity, 0.001, 1)
	}
	s.checkDuration("cold_for", k.SlowStartWindow, 0, time.Hour)
	s.checkDuration("fall_for", k.OverloadDuration, 0, time.Hour)
	s.checkDuration("window", k.DedupWindow, 0, time.Hour)
}

// checkLimitsAndClients checks the policy's limits, the clients, the share of node 0 and the expected service.
func (p *parser) checkLimitsAndClients() {
	f := &p.file
	limits, clients := p.section("limits"), p.section("clients")
	limits.checkNumber("attempts", float64(f.Limits.Attempts), 1, 16)
	limits.checkDuration("max_retry_after", f.Limits.MaxRetryAfter, 0, time.Hour)
	clients.checkNumber("retries", float64(f.Clients.Retries), 0, 100)
	clients.checkNumber("honest", f.Clients.HonorRetryAfter, 0, 1)
	p.section("").checkNumber("lead", f.FirstNodeShare, 0, 1)
	clients.checkDuration("align", f.Clients.AlignTo, 0, time.Minute)
	clients.checkDuration("wait", f.Clients.Backoff, 0, time.Hour)
	p.section("expect").checkNumber("service", f.Expect.MinService, 0, 1)
}

// setDay sets the values of the scenario that are not in lists, except for the policy's settings.
func (p *parser) setDay() {
	f := &p.file
	p.experiment.Day = fleetsim.Scenario{
		Length:       f.Length.Duration,
		Nodes:        f.Nodes,
		Servers:      f.Servers,
		NetworkDelay: f.NetworkDelay.Duration,
		ListDelay:    f.ListDelay.Duration,
		ServerKind:   f.Server.kind(),
		Clients: fleetsim.Clients{
			Retries:         f.Clients.Retries,
			Backoff:         f.Clients.Backoff.Duration,
			HonorRetryAfter: f.Clients.HonorRetryAfter,
			AlignTo:         f.Clients.AlignTo.Duration,
		},
		FirstNodeShare: f.FirstNodeShare,
		Settings:       policy.DefaultSettings(),
	}
}

// kind translates the keys of the server model.
func (k *serverSection) kind() model.ServerSpec {
	return model.ServerSpec{
		Cores:                k.Cores,
		Speed:                k.Speed,
		MaxQueued:            k.Queue,
		SlowdownPerQueued:    k.SlowdownPerQueuedJob,
		SlowStartMinCapacity: k.SlowStartCapacity,
		SlowStartWindow:      k.SlowStartWindow.Duration,
		OverloadMultiple:     k.OverloadMultiple,
		OverloadDuration:     k.OverloadDuration.Duration,
		DedupWindow:          k.DedupWindow.Duration,
	}
}

// setSettings sets the policy's limits, and its rules for slow start and overload, which agree with the server model.
func (p *parser) setSettings() {
	limits, k := &p.file.Limits, &p.file.Server
	s := &p.experiment.Day.Settings
	s.Tick = 0
	s.Limits = policy.Limits{
		MaxAttempts:   limits.Attempts,
		AllowHedging:  limits.AllowHedging,
		AllowCancel:   limits.AllowCancel,
		MaxRetryAfter: limits.MaxRetryAfter.Duration,
	}
	if k.SlowStartCapacity > 0 {
		s.Rules.SlowStartMinCapacity = k.SlowStartCapacity
		s.Rules.SlowStartWindow = k.SlowStartWindow.Duration
	}
	if k.OverloadMultiple > 0 {
		s.Rules.OverloadMultiple = k.OverloadMultiple
		s.Rules.OverloadDuration = k.OverloadDuration.Duration
	}
}

// setLoad sets the load curve, and reports points whose times do not increase.
func (p *parser) setLoad() {
	last := time.Duration(-1)
	for i, point := range p.file.Load {
		s := p.sectionAt("load", i)
		s.checkNumber("value", point.Value, 0, 1000)
		if point.At.Duration <= last {
			s.problem("at", "%v is not after the time of the previous point", point.At)
		}
		last = point.At.Duration
		p.experiment.Day.Load = append(p.experiment.Day.Load, model.Point{At: last, Value: point.Value})
	}
}

// checkRequests reports a day that could have more than MaxRequests requests at the peak of its load curve.
func (p *parser) checkRequests() {
	requests := 0.0
	for _, c := range p.file.Classes {
		requests += c.Rate * p.file.Length.Seconds()
	}
	if requests *= p.experiment.Day.Load.Max(); requests > MaxRequests {
		p.section("class").problem("rate", "the classes have %.0f requests in total; the maximum is %d", requests, MaxRequests)
	}
}
