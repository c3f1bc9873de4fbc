package lab

import (
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
	"yokestall/policy"
)

// effects maps the values of the key effect to idempotency.
var effects = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NotIdempotent,
}

// setClasses checks and sets the classes of requests.
func (p *parser) setClasses() {
	if count := len(p.file.Classes); count == 0 || count > config.MaxClasses {
		p.section("class").problem("", "file has %d classes; a file must have from 1 to %d", count, config.MaxClasses)
	}
	for i := range p.file.Classes {
		c := &p.file.Classes[i]
		p.checkClass(i, c)
		p.experiment.Day.Classes = append(p.experiment.Day.Classes, c.class())
	}
}

// checkClass checks the class of requests at an index.
func (p *parser) checkClass(index int, c *classSection) {
	s := p.sectionAt("class", index)
	idempotency, known := effects[c.Effect]
	if !known {
		s.problem("effect", "%q is none of safe, keyed, unsafe", c.Effect)
	}
	if idempotency == policy.IdempotentByKey && c.DedupWindow.Duration <= 0 {
		s.problem("window", "a class with effect keyed needs a window greater than 0")
	}
	s.checkDuration("deadline", c.Deadline, 20*time.Millisecond, time.Hour)
	s.checkDuration("aim", c.LatencyObjective, 0, max(0, c.Deadline.Duration))
	s.checkDuration("work", c.Work, time.Microsecond, time.Hour)
	s.checkNumber("rate", c.Rate, 0.001, 1e6)
	s.checkNumber("cv", c.CV, 0, 10)
	s.checkNumber("tail", c.Tail, 0, 1)
	s.checkNumber("worth", c.PriorityWeight, 0, 1e6)
	s.checkNumber("late_worth", c.LateWeight, 0, 1)
}

// class translates a class. A priority weight of 0 becomes 1.
func (c *classSection) class() fleetsim.Class {
	weight := c.PriorityWeight
	if weight == 0 {
		weight = 1
	}
	return fleetsim.Class{
		Name:   c.Name,
		Work:   c.Work.Duration,
		Rate:   c.Rate,
		Spread: model.Spread{CV: c.CV, TailProbability: c.Tail},
		Class: policy.Class{
			Deadline:         c.Deadline.Duration,
			LatencyObjective: c.LatencyObjective.Duration,
			PriorityWeight:   weight,
			LateWeight:       c.LateWeight,
			Idempotency:      effects[c.Effect],
			DedupWindow:      c.DedupWindow.Duration,
		},
	}
}
