package lab

import (
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

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
	p.experiment.Day = fleetsim.Day{
		Length:  f.Length.Duration,
		Nodes:   f.Nodes,
		Servers: f.Servers,
		Delay:   f.Delay.Duration,
		News:    f.News.Duration,
		Kind: model.Kind{
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
			Retries: f.Clients.Retries,
			Wait:    f.Clients.Wait.Duration,
			Honest:  f.Clients.Honest,
			Align:   f.Clients.Align.Duration,
		},
		Lead:     f.Lead,
		Settings: policy.Defaults(),
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
