package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// timesByRole holds times of nodes in milliseconds, by the role of the nodes' processes.
type timesByRole map[Role][]float64

// awaitRecovery waits until all nodes act on the last version, or the step's Timeout is over. It adds figures of the time
// from began to the last change of state of each node that acts on the version by then.
func (p *player) awaitRecovery(ctx context.Context, s Step, began time.Duration) error {
	states, err := p.awaitVersion(ctx, p.version, s.Timeout)
	if err != nil {
		return err
	}
	p.recordLate(s, states)
	times := timesByRole{}
	p.addTimes(times, states, began, func(n *State) time.Duration { return n.ChangedAt })
	p.addPercentiles(s, "back", times)
	return nil
}

// lateNodes returns the nodes that don't act on a version.
func lateNodes(states [][]State, version uint64) (list []State) {
	for _, ofProcess := range states {
		for _, n := range ofProcess {
			if !n.ActsOn(version) {
				list = append(list, n)
			}
		}
	}
	return list
}

// maxLateNames is the maximum number of nodes that LateNodes.Nodes lists.
const maxLateNames = 8

// recordLate adds an entry to Figures.Late if there are nodes that don't act on the last version.
func (p *player) recordLate(s Step, states [][]State) {
	list := lateNodes(states, p.version)
	if len(list) == 0 {
		return
	}
	late := LateNodes{Step: s.Name, Size: p.size, Count: len(list), ByRegion: make([]int, p.plan.Regions)}
	for _, n := range list {
		late.ByRegion[n.Region]++
		if len(late.Nodes) < maxLateNames {
			late.Nodes = append(late.Nodes, n.Node)
		}
	}
	p.figures.Late = append(p.figures.Late, late)
}

// addTimes adds, for each node that acts on the last version, the time from began to the moment that the function moment
// returns. A node adds nothing if that moment is not after began. states are by process, in the order of members.
func (p *player) addTimes(to timesByRole, states [][]State, began time.Duration, moment func(*State) time.Duration) {
	for i, list := range states {
		role := p.members[i].role
		for _, n := range list {
			if at := moment(&n); n.ActsOn(p.version) && at > began {
				to[role] = append(to[role], milliseconds(at-began))
			}
		}
	}
}

// percentiles are the quantiles of times that become figures, with the names in the figures' keys.
var percentiles = []struct {
	name     string
	quantile float64
}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}}

// addPercentiles adds the percentiles of times to the figures, by role. what is the part of the figures' keys that names
// the times.
func (p *player) addPercentiles(s Step, what string, times timesByRole) {
	for role, list := range times {
		slices.Sort(list)
		for _, q := range percentiles {
			rank := max(1, int(math.Ceil(q.quantile*float64(len(list)))))
			key := fmt.Sprintf("%s.%s.%s_%s", s.Name, role, what, q.name)
			p.figures.add(key, "ms", float64(p.size), list[rank-1])
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
