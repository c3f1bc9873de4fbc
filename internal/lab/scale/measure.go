package scale

import (
	"math"
	"strings"
	"time"
)

// rate is what a process uses in a time, of each quantity that is counted.
type rate struct {
	seconds float64
	used    [len(quantities)]float64
}

// headers are the bytes of IPv4's and TCP's headers in a packet, with the time stamps that each has.
const headers = 20 + 20 + 12

// quantity is one that is counted.
type quantity struct {
	name, unit string
	of         func(r *Report) float64 // since the process started
	told       telling
}

// telling is in how many ways a quantity is told.
type telling uint8

const (
	plain telling = iota // as it is
	extra                // also what goes beyond the idle rate
	full                 // and of the voter that has the most of it
)

var quantities = [...]quantity{
	{"cpu", "ms", func(r *Report) float64 { return float64(r.CPU) / float64(time.Millisecond) }, full},
	{"in", "B", func(r *Report) float64 { return float64(r.Dialed.In + r.Accepted.In) }, full},
	{"out", "B", func(r *Report) float64 { return float64(r.Dialed.Out + r.Accepted.Out) }, full},
	{"peers_in", "B", func(r *Report) float64 { return float64(r.Dialed.In) }, plain},
	{"peers_out", "B", func(r *Report) float64 { return float64(r.Dialed.Out) }, plain},
	{"wire", "B", func(r *Report) float64 { return float64(r.Dialed.wire() + r.Accepted.wire()) }, extra},
	{"packets", "packets", func(r *Report) float64 { return float64(r.Dialed.packets() + r.Accepted.packets()) }, plain},
	{"sent", "messages", func(r *Report) float64 { return float64(r.Sent) }, plain},
	{"received", "messages", func(r *Report) float64 { return float64(r.Received) }, plain},
	{"connections", "connections", func(r *Report) float64 { return float64(r.Dialed.Connections + r.Accepted.Connections) }, plain},
}

func (t *Traffic) packets() int64 { return t.PacketsIn + t.PacketsOut }

// wire gives the bytes both ways, with headers.
func (t *Traffic) wire() int64 { return t.In + t.Out + headers*t.packets() }

// between gives what a process used between two reports.
func between(a, b *Report) rate {
	r := rate{seconds: (b.At - a.At).Seconds()}
	for i, q := range quantities {
		r.used[i] = q.of(b) - q.of(a)
	}
	return r
}

// perSecond gives it for a second.
func (r rate) perSecond() rate {
	for i := range r.used {
		r.used[i] /= r.seconds
	}
	r.seconds = 1
	return r
}

// beyond gives what is more than another rate, which is for a second, over the same time.
func (r rate) beyond(o rate) rate {
	for i := range r.used {
		r.used[i] -= o.used[i] * r.seconds
	}
	return r
}

// measure adds a step's figures: of an idle one for a second, of others over the step, and what of it goes beyond the
// idle one before.
func (w *player) measure(s Step, before, after []Report) {
	var all []rate
	for i := range after {
		all = append(all, between(&before[i], &after[i]))
	}
	w.memories(s, after)
	if s.Kind == Idle {
		for i := range all {
			all[i] = all[i].perSecond()
		}
		w.idle = all
		w.use(s.Name, "", "/s", all)
		return
	}
	w.figures.add(s.Name+".run.length", "s", float64(w.size), all[0].seconds)
	w.use(s.Name, "", "", all)
	if w.idle == nil || s.Kind == Apart || s.Kind == Together { // then less is said, and on purpose
		return
	}
	for i := range all {
		all[i] = all[i].beyond(w.idle[i])
	}
	w.use(s.Name, "extra_", "", all)
}

// use adds the figures of what processes used: by role the mean, for a hollow node its share of its process's, and of
// voters the most too. What goes between voters is told apart for them alone: others dial nobody else, and are dialed
// by none.
func (w *player) use(step, prefix, per string, all []rate) {
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		for at, q := range quantities {
			if role != VoterRole && strings.HasPrefix(q.name, "peers_") || prefix != "" && q.told < extra {
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
				nodes += m.nodes
			}
			if nodes == 0 {
				continue
			}
			key := step + "." + string(role) + "." + prefix + q.name
			w.figures.add(key, q.unit+per, float64(w.size), total/float64(nodes))
			if role == VoterRole && prefix == "" && q.told == full {
				w.figures.add(key+"_most", q.unit+per, float64(w.size), most)
			}
		}
	}
}

// memories adds the figures of resident memory at a step's end. That of hollow nodes is by process, against the nodes
// in it: the slope is a node's.
func (w *player) memories(s Step, reports []Report) {
	byRole := map[Role][]float64{}
	const megabyte = 1 << 20
	for i, m := range w.members {
		mb := float64(reports[i].Memory) / megabyte
		byRole[m.role] = append(byRole[m.role], mb)
		if m.role == NodeRole {
			key := s.Name + ".node.process_memory"
			w.figures.add(key, "MB", float64(m.nodes), mb)
			w.figures.Series[key].Per = "nodes in the process"
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
