package lab

import (
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

// effects are the names of idempotency in files.
var effects = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NotIdempotent,
}

func (p *parser) setClasses() {
	if n := len(p.file.Class); n == 0 || n > config.MaxClasses {
		p.report("class", noIndex, "", "%d classes; 1 to %d", n, config.MaxClasses)
	}
	for i, c := range p.file.Class {
		effect := p.checkClass(i, &c)
		if c.Worth == 0 {
			c.Worth = 1
		}
		p.experiment.Day.Classes = append(p.experiment.Day.Classes, fleetsim.Class{
			Name:   c.Name,
			Work:   c.Work.Duration,
			Rate:   c.Rate,
			Spread: model.Spread{CV: c.CV, Tail: c.Tail},
			Class: policy.Class{
				Deadline:         c.Deadline.Duration,
				LatencyObjective: c.Aim.Duration,
				PriorityWeight:   c.Worth,
				LateWeight:       c.LateWorth,
				Idempotency:      effect,
				DedupWindow:      c.Window.Duration,
			},
		})
	}
}

// checkClass checks the class at an index, and returns its idempotency.
func (p *parser) checkClass(i int, c *classSection) policy.Idempotency {
	effect, ok := effects[c.Effect]
	if !ok {
		p.report("class", i, "effect", "%q is none of safe, keyed, unsafe", c.Effect)
	}
	if effect == policy.IdempotentByKey && c.Window.Duration <= 0 {
		p.report("class", i, "window", "a keyed class needs one")
	}
	p.checkDuration("class", i, "deadline", c.Deadline, 20*time.Millisecond, time.Hour)
	p.checkDuration("class", i, "aim", c.Aim, 0, max(0, c.Deadline.Duration))
	p.checkDuration("class", i, "work", c.Work, time.Microsecond, time.Hour)
	p.checkNumber("class", i, "rate", c.Rate, 0.001, 1e6)
	p.checkNumber("class", i, "cv", c.CV, 0, 10)
	p.checkNumber("class", i, "tail", c.Tail, 0, 1)
	p.checkNumber("class", i, "worth", c.Worth, 0, 1e6)
	p.checkNumber("class", i, "late_worth", c.LateWorth, 0, 1)
	return effect
}
