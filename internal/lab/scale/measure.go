package scale

import (
	"math"
	"strings"
)

// usage is the amount of each quantity that a process uses in a period.
type usage struct {
	seconds float64                  // length of the period
	used    [len(quantities)]float64 // by index in quantities
}

// quantity is a resource whose use is measured, such as CPU time or bytes sent.
type quantity struct {
	name, unit string // parts of the figures' keys and of their units
	detail     detail
	value      func(r *Report) float64 // amount used since the process's start
}

// detail selects which figures a quantity has. Each value includes the figures of the values before it.
type detail uint8

const (
	basic        detail = iota // the mean over the nodes of each role
	withExtra                  // also the mean in excess of the idle rate
	withVoterMax               // also the maximum over the voters
)

// quantities are the quantities that a run measures, in the order of their figures. "in" and "out" are the bytes on all
// sockets, "peers_in" and "peers_out" the bytes on connections that the process made. "wire" is the bytes in both
// directions with the packets' headers.
var quantities = [...]quantity{
	{"cpu", "ms", withVoterMax, func(r *Report) float64 { return milliseconds(r.CPU) }},
	{"in", "B", withVoterMax, func(r *Report) float64 { return float64(r.Dialed.In + r.Accepted.In) }},
	{"out", "B", withVoterMax, func(r *Report) float64 { return float64(r.Dialed.Out + r.Accepted.Out) }},
	{"peers_in", "B", basic, func(r *Report) float64 { return float64(r.Dialed.In) }},
	{"peers_out", "B", basic, func(r *Report) float64 { return float64(r.Dialed.Out) }},
	{"wire", "B", withExtra, func(r *Report) float64 {
		return float64(r.Dialed.wireBytes() + r.Accepted.wireBytes())
	}},
	{"packets", "packets", basic, func(r *Report) float64 {
		return float64(r.Dialed.packets() + r.Accepted.packets())
	}},
	{"sent", "messages", basic, func(r *Report) float64 { return float64(r.Sent) }},
	{"received", "messages", basic, func(r *Report) float64 { return float64(r.Received) }},
	{"connections", "connections", basic, func(r *Report) float64 {
		return float64(r.Dialed.Connections + r.Accepted.Connections)
	}},
}

// usageBetween returns what a process used between two reports.
func usageBetween(before, after *Report) usage {
	u := usage{seconds: (after.At - before.At).Seconds()}
	for i, q := range quantities {
		u.used[i] = q.value(after) - q.value(before)
	}
	return u
}

// perSecond returns the mean use per second.
func (u usage) perSecond() usage {
	for i := range u.used {
		u.used[i] /= u.seconds
	}
	u.seconds = 1
	return u
}

// above returns the use in excess of a rate. rate is a use per second.
func (u usage) above(rate usage) usage {
	for i := range u.used {
		u.used[i] -= rate.used[i] * u.seconds
	}
	return u
}

// measure adds the figures of a step. An idle step has figures of the use per second. Other steps have figures of the use
// over the step, and of its excess over the rate of the last idle step. The steps that begin and end a partition have no
// figures of the excess, because the idle rate is not expected in them.
func (p *player) measure(s Step, before, after []Report) {
	var all []usage
	for i := range after {
		all = append(all, usageBetween(&before[i], &after[i]))
	}
	p.addMemory(s, after)
	if s.Kind == KindIdle {
		for i := range all {
			all[i] = all[i].perSecond()
		}
		p.idleRates = all
		p.addUsage(s.Name, "", "/s", all)
		return
	}
	p.figures.add(s.Name+".run.length", "s", float64(p.size), all[0].seconds)
	p.addUsage(s.Name, "", "", all)
	if p.idleRates == nil || s.Kind == KindPartition || s.Kind == KindHeal {
		return
	}
	for i := range all {
		all[i] = all[i].above(p.idleRates[i])
	}
	p.addUsage(s.Name, extraPrefix, "", all)
}

const (
	extraPrefix = "extra_" // begins the names of quantities in excess of the idle rate
	peersPrefix = "peers_" // begins the names of quantities of traffic on connections that a voter made to its peers
)

// addUsage adds the figures of the processes' use: the mean over the nodes of each role, and for some quantities the
// maximum over the voters. Only voters have figures of traffic with peers, because other nodes connect only to voters and
// accept no control connections, so that such figures would equal their total traffic.
func (p *player) addUsage(step, prefix, unitSuffix string, all []usage) {
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		for i, q := range quantities {
			if role != VoterRole && strings.HasPrefix(q.name, peersPrefix) {
				continue
			}
			if prefix == extraPrefix && q.detail < withExtra {
				continue
			}
			total, most, nodes := p.sumOver(role, i, all)
			if nodes == 0 {
				continue
			}
			key := step + "." + string(role) + "." + prefix + q.name
			p.figures.add(key, q.unit+unitSuffix, float64(p.size), total/float64(nodes))
			if role == VoterRole && prefix == "" && q.detail == withVoterMax {
				p.figures.add(key+"_most", q.unit+unitSuffix, float64(p.size), most)
			}
		}
	}
}

// sumOver returns the sum and the maximum of a quantity over the processes of a role, and the number of nodes in these
// processes. quantity is an index in quantities.
func (p *player) sumOver(role Role, quantity int, all []usage) (total, most float64, nodes int) {
	most = math.Inf(-1)
	for i, m := range p.members {
		if m.role != role {
			continue
		}
		v := all[i].used[quantity]
		total += v
		most = max(most, v)
		nodes += m.nodeCount
	}
	return total, most, nodes
}

// addMemory adds the figures of resident memory at the end of a step, in MB. The figure for hollow nodes has a point for
// each process, at the number of nodes in the process, so that its slope is the memory of one node.
func (p *player) addMemory(s Step, reports []Report) {
	byRole := map[Role][]float64{}
	const megabyte = 1 << 20
	for i, m := range p.members {
		mb := float64(reports[i].Memory) / megabyte
		byRole[m.role] = append(byRole[m.role], mb)
		if m.role == NodeRole {
			key := s.Name + ".node.process_memory"
			p.figures.add(key, "MB", float64(m.nodeCount), mb)
			p.figures.Series[key].SizeUnit = "nodes in the process"
		}
	}
	for _, role := range []Role{VoterRole, ServeRole} {
		if list := byRole[role]; len(list) > 0 {
			p.figures.add(s.Name+"."+string(role)+".memory", "MB", float64(p.size), mean(list))
		}
	}
}

func mean(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total / float64(len(list))
}
