package scale

import "time"

// rate is what a process uses in a time, of each quantity that is counted.
type rate struct {
	seconds, cpu, in, out, sent, received float64
}

// between gives what a process used between two reports.
func between(a, b Report) rate {
	return rate{
		seconds:  (b.At - a.At).Seconds(),
		cpu:      float64(b.CPU-a.CPU) / float64(time.Millisecond),
		in:       float64(b.Dialed.In + b.Accepted.In - a.Dialed.In - a.Accepted.In),
		out:      float64(b.Dialed.Out + b.Accepted.Out - a.Dialed.Out - a.Accepted.Out),
		sent:     float64(b.Sent - a.Sent),
		received: float64(b.Received - a.Received),
	}
}

// perSecond gives it for a second.
func (r rate) perSecond() rate {
	return rate{1, r.cpu / r.seconds, r.in / r.seconds, r.out / r.seconds, r.sent / r.seconds, r.received / r.seconds}
}

// beyond gives what is more than another rate, which is for a second, over the same time.
func (r rate) beyond(o rate) rate {
	t := r.seconds
	return rate{t, r.cpu - o.cpu*t, r.in - o.in*t, r.out - o.out*t, r.sent - o.sent*t, r.received - o.received*t}
}

// quantity is one of what a rate counts.
type quantity struct {
	name, unit string
	of         func(r rate) float64
}

var quantities = []quantity{
	{"cpu", "ms", func(r rate) float64 { return r.cpu }},
	{"in", "B", func(r rate) float64 { return r.in }},
	{"out", "B", func(r rate) float64 { return r.out }},
	{"sent", "messages", func(r rate) float64 { return r.sent }},
	{"received", "messages", func(r rate) float64 { return r.received }},
}

// measure adds a step's figures: of an idle one for a second, of others over the step, and what of it goes beyond the idle one before.
func (w *player) measure(s Step, before, after []Report) {
	var all []rate
	for i := range after {
		all = append(all, between(before[i], after[i]))
	}
	if s.Kind == Idle {
		for i := range all {
			all[i] = all[i].perSecond()
		}
		w.idle = all
		w.memories(s, after)
		w.use(s.Name, "", "/s", all)
		return
	}
	w.figures.add(s.Name+".run.length", "s", float64(w.size), all[0].seconds)
	w.use(s.Name, "", "", all)
	if w.idle == nil {
		return
	}
	for i := range all {
		all[i] = all[i].beyond(w.idle[i])
	}
	w.use(s.Name, "extra_", "", all)
}

// use adds the figures of what processes used: by role the mean, for a hollow node its share of its process's, and of voters the most too.
func (w *player) use(step, prefix, per string, all []rate) {
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		for _, q := range quantities {
			total, most, nodes := 0.0, 0.0, 0
			for i, m := range w.members {
				if m.role != role {
					continue
				}
				v := q.of(all[i])
				total += v
				most = max(most, v)
				nodes += m.nodes
			}
			if nodes == 0 {
				continue
			}
			key := step + "." + string(role) + "." + prefix + q.name
			w.figures.add(key, q.unit+per, float64(w.size), total/float64(nodes))
			if role == VoterRole {
				w.figures.add(key+"_most", q.unit+per, float64(w.size), most)
			}
		}
	}
}

// memories adds the figures of resident memory. That of hollow nodes is by process, against the nodes in it: the slope is a node's.
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
