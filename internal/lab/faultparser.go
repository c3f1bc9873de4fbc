package lab

import (
	"strings"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
)

// setServerFaults sets the faults of servers and nodes.
func (p *parser) setServerFaults() {
	for i := range p.file.ServerFaults {
		fault := &p.file.ServerFaults[i]
		p.checkServerFault(i, fault)
		p.experiment.Day.Troubles = append(p.experiment.Day.Troubles, fault.simulatedFault())
	}
}

// checkServerFault checks the fault at an index.
func (p *parser) checkServerFault(index int, t *serverFault) {
	f, s := &p.file, p.sectionAt("trouble", index)
	if t.To.Duration <= t.From.Duration || t.From.Duration < 0 || t.From.Duration >= f.Length.Duration {
		s.problem("to", "from %v to %v is no time of the day", t.From, t.To)
	}
	count, what := f.Servers, "servers"
	if t.Nodes {
		count, what = f.Nodes, "nodes"
	}
	if t.First < 0 || t.Last < t.First || t.Last >= count {
		s.problem("last", "%s %d to %d are not among the %d, from 0", what, t.First, t.Last, count)
	}
	if t.kinds() != 1 {
		s.problem("", "one of down, drain, nodes, holds, or slow, silent and fail is wanted")
	}
	if t.RestoreSnapshot && !t.Nodes {
		s.problem("knows", "it is of nodes alone")
	}
	if t.RestartSpeed != 0 && !t.Down && !t.Drain {
		s.problem("smaller", "it is of servers that are down or drain")
	}
	s.checkNumber("smaller", t.RestartSpeed, 0, 1)
	s.checkNumber("slow", t.Slow, 0, 1e4)
	s.checkNumber("fail", t.Fail, 0, 1)
}

// kinds returns how many kinds of fault it is; slow, silent and failing servers are one kind.
func (t *serverFault) kinds() int {
	impaired := t.Slow != 0 || t.Unresponsive || t.Fail != 0
	count := 0
	for _, isKind := range []bool{t.Down, t.Drain, t.Nodes, impaired, t.BufferReplies} {
		if isKind {
			count++
		}
	}
	return count
}

// simulatedFault translates a fault.
func (t *serverFault) simulatedFault() fleetsim.Trouble {
	return fleetsim.Trouble{
		From:    t.From.Duration,
		To:      t.To.Duration,
		First:   t.First,
		Last:    t.Last,
		Down:    t.Down,
		Drain:   t.Drain,
		Nodes:   t.Nodes,
		Knows:   t.RestoreSnapshot,
		Smaller: t.RestartSpeed,
		Holds:   t.BufferReplies,
		With:    model.Trouble{Slow: t.Slow, Silent: t.Unresponsive, Fail: t.Fail},
	}
}

// setProcessFaults sets the faults of processes and links.
func (p *parser) setProcessFaults() {
	f := &p.file
	for i := range f.ProcessFaults {
		fault := f.ProcessFaults[i].fault()
		if err := fault.Check(f.Nodes, f.Servers, f.Length.Duration); err != nil {
			key, problem, _ := strings.Cut(err.Error(), ": ")
			p.sectionAt("fault", i).problem(key, "%s", problem)
		}
		p.experiment.Faults = append(p.experiment.Faults, fault)
	}
}

// fault translates a fault.
func (t *processFault) fault() fleet.Fault {
	return fleet.Fault{
		From:    t.From.Duration,
		To:      t.To.Duration,
		Kind:    fleet.Kind(t.Kind),
		Nodes:   t.Nodes,
		Servers: t.Servers,
		By:      t.Delay.Duration,
		Rate:    t.Rate,
	}
}
