package scale

import (
	"math"
	"strings"
	"time"
)

// usage is what a process uses in a time, of each quantity that is counted.
type usage struct {
	seconds float64
	used    [len(quantities)]float64
}

// packetHeaderBytes are the bytes of IPv4's and TCP's packetHeaderBytes in a packet, with the time stamps that each has.
const packetHeaderBytes = 20 + 20 + 12

// quantity is one that is counted.
type quantity struct {
	name, unit string
	value      func(r *Report) float64 // since the process started
	detail     detail
}

// detail is in how many ways a quantity is told.
type detail uint8

const (
	basic        detail = iota // as it is
	withExtra                  // also what goes beyond the idle rate
	withVoterMax               // and of the voter that has the most of it
)

var quantities = [...]quantity{
	{"cpu", "ms", func(r *Report) float64 { return float64(r.CPU) / float64(time.Millisecond) }, withVoterMax},
	{"in", "B", func(r *Report) float64 { return float64(r.Dialed.In + r.Accepted.In) }, withVoterMax},
	{"out", "B", func(r *Report) float64 { return float64(r.Dialed.Out + r.Accepted.Out) }, withVoterMax},
	{"peers_in", "B", func(r *Report) float64 { return float64(r.Dialed.In) }, basic},
	{"peers_out", "B", func(r *Report) float64 { return float64(r.Dialed.Out) }, basic},
	{"wire", "B", func(r *Report) float64 { return float64(r.Dialed.wireBytes() + r.Accepted.wireBytes()) }, withExtra},
	{"packets", "packets", func(r *Report) float64 { return float64(r.Dialed.packets() + r.Accepted.packets()) }, basic},
	{"sent", "messages", func(r *Report) float64 { return float64(r.Sent) }, basic},
	{"received", "messages", func(r *Report) float64 { return float64(r.Received) }, basic},
	{"connections", "connections", func(r *Report) float64 { return float64(r.Dialed.Connections + r.Accepted.Connections) }, basic},
}

// usageBetween gives what a process used usageBetween two reports.
func usageBetween(a, b *Report) usage {
	r := usage{seconds: (b.At - a.At).Seconds()}
	for i, q := range quantities {
		r.used[i] = q.value(b) - q.value(a)
	}
	return r
}

// perSecond gives it for a second.
func (r usage) perSecond() usage {
	for i := range r.used {
		r.used[i] /= r.seconds
	}
	r.seconds = 1
	return r
}

// above gives what is more than another rate, which is for a second, over the same time.
func (r usage) above(o usage) usage {
	for i := range r.used {
		r.used[i] -= o.used[i] * r.seconds
	}
	return r
}

// measure adds a step's figures: of an idle one for a second, of others over the step, and what of it goes beyond the
// idle one before.
func (w *player) measure(s Step, before, after []Report) {
	var all []usage
	for i := range after {
		all = append(all, usageBetween(&before[i], &after[i]))
	}
	w.addMemory(s, after)
	if s.Kind == KindIdle {
		for i := range all {
			all[i] = all[i].perSecond()
		}
		w.idleRates = all
		w.addUsage(s.Name, "", "/s", all)
		return
	}
	w.figures.add(s.Name+".run.length", "s", float64(w.size), all[0].seconds)
	w.addUsage(s.Name, "", "", all)
	if w.idleRates == nil || s.Kind == KindPartition || s.Kind == KindHeal { // then less is said, and on purpose
		return
	}
	for i := range all {
		all[i] = all[i].above(w.idleRates[i])
	}
	w.addUsage(s.Name, "extra_", "", all)
}

// addUsage adds the figures of what processes used: by role the mean, for a hollow node its share of its process's, and of
// voters the most too. What goes between voters is told apart for them alone: others dial nobody else, and are dialed
// by none.
func (w *player) addUsage(step, prefix, per string, all []usage) {
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		for at, q := range quantities {
			if role != VoterRole && strings.HasPrefix(q.name, "peers_") || prefix != "" && q.detail < withExtra {
				continue
			}
			total, most, nodes := 0.0, math.Inf(-1), 0
			for i, m := range w.members {
				if m.role != role {
					continue
				}
				v := all[i].used[at]
				total += v
				most = max(most, v)
				nodes += m.nodeCount
			}
			if nodes == 0 {
				continue
			}
			key := step + "." + string(role) + "." + prefix + q.name
			w.figures.add(key, q.unit+per, float64(w.size), total/float64(nodes))
			if role == VoterRole && prefix == "" && q.detail == withVoterMax {
				w.figures.add(key+"_most", q.unit+per, float64(w.size), most)
			}
		}
	}
}

// addMemory adds the figures of resident memory at a step's end. That of hollow nodes is by process, against the nodes
// in it: the slope is a node's.
func (w *player) addMemory(s Step, reports []Report) {
	byRole := map[Role][]float64{}
	const megabyte = 1 << 20
	for i, m := range w.members {
		mb := float64(reports[i].Memory) / megabyte
		byRole[m.role] = append(byRole[m.role], mb)
		if m.role == NodeRole {
			key := s.Name + ".node.process_memory"
			w.figures.add(key, "MB", float64(m.nodeCount), mb)
			w.figures.Series[key].SizeUnit = "nodes in the process"
		}
	}
	for _, role := range []Role{VoterRole, ServeRole} {
		if list := byRole[role]; len(list) > 0 {
			w.figures.add(s.Name+"."+string(role)+".memory", "MB", float64(w.size), mean(list))
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
