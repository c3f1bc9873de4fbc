package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// awaitRecovery waits until all nodes act on the last version, and says how long those took that had not.
func (w *player) awaitRecovery(ctx context.Context, s Step, began time.Duration) error {
	states, err := w.awaitVersion(ctx, w.version, s.Timeout)
	if err != nil {
		return err
	}
	w.recordLate(s, states)
	took := map[Role][]float64{}
	for i, list := range states {
		for _, n := range list {
			if n.ActsOn(w.version) && n.ChangedAt > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.ChangedAt-began))
			}
		}
	}
	w.addPercentiles(s, "back", took)
	return nil
}

// lateNodes gives the nodes that don't act on a version.
func lateNodes(states [][]State, number uint64) (list []State) {
	for _, of := range states {
		for _, n := range of {
			if !n.ActsOn(number) {
				list = append(list, n)
			}
		}
	}
	return list
}

// maxLateNames is how many nodes are named that were not told.
const maxLateNames = 8

// recordLate takes down the nodes that don't act on the last version.
func (w *player) recordLate(s Step, states [][]State) {
	late := lateNodes(states, w.version)
	if len(late) == 0 {
		return
	}
	u := LateNodes{Step: s.Name, Size: w.size, Count: len(late), ByRegion: make([]int, w.plan.Regions)}
	for _, n := range late {
		if u.ByRegion[n.Region]++; len(u.Nodes) < maxLateNames {
			u.Nodes = append(u.Nodes, n.Node)
		}
	}
	w.figures.Late = append(w.figures.Late, u)
}

// addInForceTimes adds, by role, how long after a moment each node that acts on the last version took it.
func (w *player) addInForceTimes(took map[Role][]float64, states [][]State, began time.Duration) {
	for i, list := range states {
		for _, n := range list {
			if n.ActsOn(w.version) && n.AppliedAt > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.AppliedAt-began))
			}
		}
	}
}

// addPercentiles adds the figures of addPercentiles, by role.
func (w *player) addPercentiles(s Step, what string, took map[Role][]float64) {
	for role, list := range took {
		slices.Sort(list)
		for _, q := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}} {
			at := max(0, int(math.Ceil(q.share*float64(len(list))))-1)
			w.figures.add(fmt.Sprintf("%s.%s.%s_%s", s.Name, role, what, q.name), "ms", float64(w.size), list[at])
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
