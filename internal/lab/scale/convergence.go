package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// timesByRole are nodes' times in milliseconds, by the role of their processes.
type timesByRole map[Role][]float64

// awaitRecovery waits until all nodes act on the last version, and adds the times from began of the nodes that began
// to act on it since.
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

// maxLateNames bounds the nodes that LateNodes names.
const maxLateNames = 8

// recordLate adds the nodes that don't act on the last version to the figures.
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

// addTimes adds the time from began to a moment of each node that acts on the last version. A node whose moment is
// before began adds nothing. states are by process, in the order of members.
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

// percentiles are the quantiles whose times are figures.
var percentiles = []struct {
	name     string
	quantile float64
}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}}

// addPercentiles adds the percentiles of times to the figures, by role.
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
