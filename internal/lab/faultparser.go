package lab

import (
	"strings"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
)

func (p *parser) setTroubles() {
	for i, t := range p.file.Trouble {
		p.checkTrouble(i, &t)
		p.experiment.Day.Troubles = append(p.experiment.Day.Troubles, fleetsim.Trouble{
			From:    t.From.Duration,
			To:      t.To.Duration,
			First:   t.First,
			Last:    t.Last,
			Down:    t.Down,
			Drain:   t.Drain,
			Nodes:   t.Nodes,
			Knows:   t.Knows,
			Smaller: t.Small,
			Holds:   t.Holds,
			With:    model.Trouble{Slow: t.Slow, Silent: t.Silent, Fail: t.Fail},
		})
	}
}

// checkTrouble checks the fault at an index.
func (p *parser) checkTrouble(i int, t *troubleSection) {
	f := &p.file
	if t.To.Duration <= t.From.Duration || t.From.Duration < 0 || t.From.Duration >= f.Length.Duration {
		p.report("trouble", i, "to", "from %v to %v is no time of the day", t.From, t.To)
	}
	count, what := f.Servers, "servers"
	if t.Nodes {
		count, what = f.Nodes, "nodes"
	}
	if t.First < 0 || t.Last < t.First || t.Last >= count {
		p.report("trouble", i, "last", "%s %d to %d are not among the %d, from 0", what, t.First, t.Last, count)
	}
	kinds := 0
	for _, set := range []bool{t.Down, t.Drain, t.Nodes, t.Slow != 0 || t.Silent || t.Fail != 0, t.Holds} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		p.report("trouble", i, "", "one of down, drain, nodes, holds, or slow, silent and fail is wanted")
	}
	if t.Knows && !t.Nodes {
		p.report("trouble", i, "knows", "it is of nodes alone")
	}
	if t.Small != 0 && !t.Down && !t.Drain {
		p.report("trouble", i, "smaller", "it is of servers that are down or drain")
	}
	p.checkNumber("trouble", i, "smaller", t.Small, 0, 1)
	p.checkNumber("trouble", i, "slow", t.Slow, 0, 1e4)
	p.checkNumber("trouble", i, "fail", t.Fail, 0, 1)
}

func (p *parser) setFaults() {
	f := &p.file
	for i, t := range f.Fault {
		fault := fleet.Fault{
			From:    t.From.Duration,
			To:      t.To.Duration,
			Kind:    fleet.Kind(t.Kind),
			Nodes:   t.Nodes,
			Servers: t.Servers,
			By:      t.By.Duration,
			Rate:    t.Rate,
		}
		if err := fault.Check(f.Nodes, f.Servers, f.Length.Duration); err != nil {
			key, what, _ := strings.Cut(err.Error(), ": ")
			p.report("fault", i, key, "%s", what)
		}
		p.experiment.Faults = append(p.experiment.Faults, fault)
	}
}
