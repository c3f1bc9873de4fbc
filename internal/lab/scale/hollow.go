package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// Placement is the hollow nodes that a process has, and the regions and zones over which all of a run's are spread.
type Placement struct {
	First, Count   int // by number among all hollow nodes, from 0
	Offset         int // nodes of the fleet that are not hollow
	Regions, Zones int
}

// nodeName names hollow node i.
func nodeName(i int) string { return fmt.Sprintf("h%05d", i) }

// HollowNodes are nodes without traffic: each runs a node's own agent, reads, checks and stores each version, and has
// no engine that would apply it. Create it with NewHollow.
type HollowNodes struct {
	nodes  map[string]*hollowNode
	states *States
}

type hollowNode struct {
	config       agent.Config
	region, zone int

	stop  context.CancelFunc // nil: it is stopped
	ended chan struct{}      // closed once its agent has ended
}

// NewHollow makes nodes without starting them. Each has the configuration of base and own, but for a name, a number
// and a store of its own.
func NewHollow(base agent.Config, own *config.Program, at Placement, meter *Meter, states *States) *HollowNodes {
	h := &HollowNodes{nodes: map[string]*hollowNode{}, states: states}
	for i := at.First; i < at.First+at.Count; i++ {
		n := &hollowNode{config: base, region: i % at.Regions, zone: i % at.Zones}
		name := nodeName(i)
		n.config.Name = name
		n.config.Dir = filepath.Join(base.Dir, name)
		n.config.Hooks = meter.Hooks(n.region)
		n.config.Hooks.Applied = func(versions consensus.ActiveVersions, disconnected bool) {
			states.Record(name, versions, disconnected)
		}
		program := *own
		program.Node = at.Offset + i
		source := app.NewAgreedSource(nil, &program)
		n.config.Parse, n.config.Extend = source.Parse, source.Extend
		n.config.Apply = func(a consensus.EffectiveVersion) error {
			_, err := program.Agreed(a.Program)
			return err
		}
		h.nodes[name] = n
	}
	return h
}

// start starts a node and registers it in states; a node that runs is left alone. emptyStore removes its store before.
func (h *HollowNodes) start(ctx context.Context, name string, emptyStore bool) error {
	n := h.nodes[name]
	if n.stop != nil {
		return nil
	}
	if emptyStore {
		if err := os.RemoveAll(n.config.Dir); err != nil {
			return err
		}
	}
	h.states.Register(name, n.region, n.zone)
	node, err := agent.Open(n.config)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ctx, n.stop = context.WithCancel(context.WithoutCancel(ctx))
	n.ended = make(chan struct{})
	go func() {
		defer close(n.ended)
		node.Run(ctx)
		node.Close()
	}()
	return nil
}

// shutDown stops a node and waits until it has ended.
func (n *hollowNode) shutDown() {
	if n.stop == nil {
		return
	}
	n.stop()
	<-n.ended
	n.stop = nil
}

func (h *HollowNodes) names() (list []string) {
	for name := range h.nodes {
		list = append(list, name)
	}
	return list
}

// Start starts all nodes that are stopped, at once. emptyStores removes their stores before.
func (h *HollowNodes) Start(ctx context.Context, emptyStores bool) error {
	return forEach(h.names(), func(_ int, name string) error { return h.start(ctx, name, emptyStores) })
}

// Stop stops all nodes.
func (h *HollowNodes) Stop() {
	forEach(h.names(), func(_ int, name string) error {
		h.nodes[name].shutDown()
		return nil
	})
}

// Restart stops nodes and starts them again, all at once. It fails before it stops any if a name is unknown.
func (h *HollowNodes) Restart(ctx context.Context, names []string, emptyStores bool) error {
	for _, name := range names {
		if h.nodes[name] == nil {
			return fmt.Errorf("there is no node %s", name)
		}
	}
	return forEach(names, func(_ int, name string) error {
		h.nodes[name].shutDown()
		return h.start(ctx, name, emptyStores)
	})
}
