package lab

import (
	"strings"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/model"
)

// setServerFaults checks and sets the simulated faults of servers and nodes.
func (p *parser) setServerFaults() {
	for i := range p.file.ServerFaults {
		fault := &p.file.ServerFaults[i]
		p.checkServerFault(i, fault)
		p.experiment.Day.Faults = append(p.experiment.Day.Faults, fault.simulatedFault())
	}
}

// checkServerFault checks the simulated fault at an index.
func (p *parser) checkServerFault(index int, t *serverFault) {
	f, s := &p.file, p.sectionAt("trouble", index)
	if t.To.Duration <= t.From.Duration || t.From.Duration < 0 || t.From.Duration >= f.Length.Duration {
		s.problem("to", "from %v to %v: a fault must begin within the day and end after its beginning", t.From, t.To)
	}
	count, noun := f.Servers, "servers"
	if t.Nodes {
		count, noun = f.Nodes, "nodes"
	}
	if t.First < 0 || t.Last < t.First || t.Last >= count {
		s.problem("last", "%s %d to %d are not among the %d, which are numbered from 0", noun, t.First, t.Last, count)
	}
	if t.kinds() != 1 {
		s.problem("", "exactly one kind of fault must be set: down, drain, nodes, holds, or any of slow, silent and fail")
	}
	if t.RestoreSnapshot && !t.Nodes {
		s.problem("knows", "allowed only for a fault of nodes")
	}
	if t.RestartSpeed != 0 && !t.Down && !t.Drain {
		s.problem("smaller", "allowed only for servers that are down or drain")
	}
	s.checkNumber("smaller", t.RestartSpeed, 0, 1)
	s.checkNumber("slow", t.Slow, 0, 1e4)
	s.checkNumber("fail", t.Fail, 0, 1)
}

// kinds returns how many kinds of fault are set; slow, silent and fail together count as one kind.
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

// simulatedFault translates a fault of servers or nodes.
func (t *serverFault) simulatedFault() fleetsim.Fault {
	return fleetsim.Fault{
		From:            t.From.Duration,
		To:              t.To.Duration,
		First:           t.First,
		Last:            t.Last,
		Down:            t.Down,
		Drain:           t.Drain,
		Nodes:           t.Nodes,
		RestoreSnapshot: t.RestoreSnapshot,
		RestartSpeed:    t.RestartSpeed,
		BufferReplies:   t.BufferReplies,
		Impairment:      model.Fault{Slowdown: t.Slow, Unresponsive: t.Unresponsive, FailureRate: t.Fail},
	}
}

// setProcessFaults checks and sets the faults of processes and links.
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

// fault translates a fault of processes and links.
func (t *processFault) fault() fleet.Fault {
	return fleet.Fault{
		From:    t.From.Duration,
		To:      t.To.Duration,
		Kind:    fleet.FaultKind(t.Kind),
		Nodes:   t.Nodes,
		Servers: t.Servers,
		Latency: t.Delay.Duration,
		Rate:    t.Rate,
	}
}
