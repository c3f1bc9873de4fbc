package scale

import (
	"context"
	"fmt"
	"math"
	"time"

	"yokestall/internal/ctxtime"
	"yokestall/internal/fleet/agent"
)

// execute carries out a step according to its kind.
func (p *player) execute(ctx context.Context, s Step) error {
	switch s.Kind {
	case KindIdle:
		return ctxtime.Sleep(ctx, s.Duration)
	case KindSettings, KindList:
		return p.publishChanges(ctx, s)
	case KindRestart:
		return p.restart(ctx, s)
	case KindPartition:
		return p.partitionRegions(ctx, s)
	case KindHeal:
		return p.healRegions(ctx, s)
	case KindRestartAll:
		return p.restartAll(ctx, s)
	}
	return nil
}

// publishChanges publishes the versions of a step one after the other. It publishes the next version when all nodes act
// on the last one, or when the step's Timeout is over. It adds figures of the time until the voters accept a version, and
// of the time until nodes act on it.
func (p *player) publishChanges(ctx context.Context, s Step) error {
	var publishTimes []float64
	applyTimes := timesByRole{}
	for range s.Count {
		began, err := p.publishChange(ctx, s)
		if err != nil {
			return err
		}
		publishTimes = append(publishTimes, milliseconds(agent.BootTime()-began))
		states, err := p.awaitVersion(ctx, p.version, s.Timeout)
		if err != nil {
			return err
		}
		p.recordLate(s, states)
		p.addTimes(applyTimes, states, began, func(n *State) time.Duration { return n.AppliedAt })
	}
	p.figures.add(s.Name+".operator.published", "ms", float64(p.size), mean(publishTimes))
	p.addPercentiles(s, "in_force", applyTimes)
	return nil
}

// publishChange publishes the next version of a step. began is the time of the first attempt, since the machine's boot.
func (p *player) publishChange(ctx context.Context, s Step) (began time.Duration, err error) {
	base, next := p.version, p.settings.next(s.Contradicts)
	began, err = p.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
		if s.Kind == KindList {
			return p.client.PublishChange(ctx, id, base, p.plan.Content.deltaFile(p.changes+1))
		}
		return p.client.Publish(ctx, id, base, p.plan.Content.bundle(p.nodeCount(), next))
	})
	if err != nil {
		return 0, err
	}
	p.changes++
	if s.Kind == KindSettings {
		p.settings = next
	}
	return began, nil
}

// restart restarts the hollow nodes that chooseNodes selects, concurrently, and waits until all nodes act on the last
// version again.
func (p *player) restart(ctx context.Context, s Step) error {
	chosen := p.chooseNodes(s)
	first := 0
	began := agent.BootTime()
	_, err := p.members.call(ctx, func(m *member) *Command {
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
	})
	if err != nil {
		return err
	}
	p.figures.add(s.Name+".node.restarted", "nodes", float64(p.size), float64(len(chosen)))
	return p.awaitRecovery(ctx, s, began)
}

// chooseNodes returns the names of the hollow nodes that a step restarts: all nodes of the step's zone, or a random
// selection with the step's fraction of all nodes, rounded up.
func (p *player) chooseNodes(s Step) map[string]bool {
	chosen := map[string]bool{}
	count := int(math.Ceil(s.Fraction * float64(p.size)))
	for _, i := range p.rng.Perm(p.size) {
		if s.Zone >= 0 && i%p.plan.Zones == s.Zone || s.Zone < 0 && len(chosen) < count {
			chosen[nodeName(i)] = true
		}
	}
	return chosen
}

// partitionRegions begins a partition between the regions, and after the step's Duration adds figures of the nodes with
// and without a lease in each region. The partition continues after the step.
func (p *player) partitionRegions(ctx context.Context, s Step) error {
	if err := p.setPartitioned(ctx, true); err != nil {
		return err
	}
	if err := ctxtime.Sleep(ctx, s.Duration); err != nil {
		return err
	}
	states, err := p.awaitVersion(ctx, 0, 0)
	if err != nil {
		return err
	}
	leased, disconnected := make([]int, p.plan.Regions), make([]int, p.plan.Regions)
	for _, list := range states {
		for _, n := range list {
			switch {
			case n.Disconnected:
				disconnected[n.Region]++
			case n.Version > 0:
				leased[n.Region]++
			}
		}
	}
	for region := range p.plan.Regions {
		key := fmt.Sprintf("%s.region%d.", s.Name, region)
		p.figures.add(key+"leased", "nodes", float64(p.size), float64(leased[region]))
		p.figures.add(key+"alone", "nodes", float64(p.size), float64(disconnected[region]))
	}
	return nil
}

// healRegions ends the partition and waits until all nodes act on the last version.
func (p *player) healRegions(ctx context.Context, s Step) error {
	began := agent.BootTime()
	if err := p.setPartitioned(ctx, false); err != nil {
		return err
	}
	return p.awaitRecovery(ctx, s, began)
}

// restartAll stops all hollow nodes, starts them concurrently, and waits until all nodes act on the last version.
func (p *player) restartAll(ctx context.Context, s Step) error {
	hollow := p.members.withRole(NodeRole)
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStop})); err != nil {
		return err
	}
	began := agent.BootTime()
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStart, EmptyStores: s.EmptyStores})); err != nil {
		return err
	}
	return p.awaitRecovery(ctx, s, began)
}
