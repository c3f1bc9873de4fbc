package scale

import (
	"context"
	"fmt"
	"math"
	"time"

	"yokestall/internal/fleet/agent"
)

// publishChanges publishes a step's versions, one after the other, each once all act on the one before or the step's wait is
// over.
func (w *player) publishChanges(ctx context.Context, s Step) error {
	var published []float64
	took := map[Role][]float64{}
	for range s.Count {
		base := w.version
		began, err := w.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
			if s.Kind == KindList {
				return w.client.PublishChange(ctx, id, base, w.plan.Content.deltaFile(w.changes+1))
			}
			return w.client.Publish(ctx, id, base, w.plan.Content.bundle(w.nodeCount(), w.settings.next(s.Contradicts)))
		})
		if err != nil {
			return err
		}
		published = append(published, milliseconds(agent.BootTime()-began))
		if w.changes++; s.Kind == KindSettings {
			w.settings = w.settings.next(s.Contradicts)
		}
		states, err := w.awaitVersion(ctx, w.version, s.Timeout)
		if err != nil {
			return err
		}
		w.recordLate(s, states)
		w.addInForceTimes(took, states, began)
	}
	w.figures.add(s.Name+".operator.published", "ms", float64(w.size), mean(published))
	w.addPercentiles(s, "in_force", took)
	return nil
}

// restart restarts some hollow nodes at once and waits until they act again.
func (w *player) restart(ctx context.Context, s Step) error {
	chosen := map[string]bool{}
	for _, i := range w.rng.Perm(w.size) {
		if s.Zone >= 0 && i%w.plan.Zones == s.Zone || s.Zone < 0 && len(chosen) < int(math.Ceil(s.Fraction*float64(w.size))) {
			chosen[nodeName(i)] = true
		}
	}
	first := 0
	began := agent.BootTime()
	if _, err := w.members.call(ctx, func(m *member) *Command {
		if m.role != NodeRole {
			return nil
		}
		c := &Command{Op: OpRestart, EmptyStores: s.EmptyStores}
		for i := first; i < first+m.nodeCount; i++ {
			if name := nodeName(i); chosen[name] {
				c.Nodes = append(c.Nodes, name)
			}
		}
		first += m.nodeCount
		return c
	}); err != nil {
		return err
	}
	w.figures.add(s.Name+".node.restarted", "nodes", float64(w.size), float64(len(chosen)))
	return w.awaitRecovery(ctx, s, began)
}

// partitionRegions has the regions hear nothing of each other, and counts the nodes' leases at the end of the step's length.
func (w *player) partitionRegions(ctx context.Context, s Step) error {
	if err := w.setPartitioned(ctx, true); err != nil {
		return err
	}
	if err := pause(ctx, s.Duration); err != nil {
		return err
	}
	states, err := w.awaitVersion(ctx, 0, 0)
	if err != nil {
		return err
	}
	leased, alone := make([]int, w.plan.Regions), make([]int, w.plan.Regions)
	for _, list := range states {
		for _, n := range list {
			switch {
			case n.Disconnected:
				alone[n.Region]++
			case n.Version > 0:
				leased[n.Region]++
			}
		}
	}
	for region := range w.plan.Regions {
		key := fmt.Sprintf("%s.region%d.", s.Name, region)
		w.figures.add(key+"leased", "nodes", float64(w.size), float64(leased[region]))
		w.figures.add(key+"alone", "nodes", float64(w.size), float64(alone[region]))
	}
	return nil
}

// healRegions has the regions hear of each other again.
func (w *player) healRegions(ctx context.Context, s Step) error {
	began := agent.BootTime()
	if err := w.setPartitioned(ctx, false); err != nil {
		return err
	}
	return w.awaitRecovery(ctx, s, began)
}

// restartAll stops all hollow nodes and starts them at once.
func (w *player) restartAll(ctx context.Context, s Step) error {
	hollow := w.members.withRole(NodeRole)
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStop})); err != nil {
		return err
	}
	began := agent.BootTime()
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStart, EmptyStores: s.EmptyStores})); err != nil {
		return err
	}
	return w.awaitRecovery(ctx, s, began)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
