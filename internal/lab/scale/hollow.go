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

// Placement gives the hollow nodes of a process, and the numbers of regions and zones over which the hollow nodes of the
// whole run are spread.
type Placement struct {
	First, Count   int // number of the first node among all hollow nodes, from 0, and the count of nodes
	Offset         int // how many nodes of the fleet are not hollow; their node numbers come first
	Regions, Zones int
}

// nodeName returns the name of hollow node i, from 0.
func nodeName(i int) string { return fmt.Sprintf("h%05d", i) }

// HollowNodes are the hollow nodes of a process. A hollow node carries no requests: it runs the agent of a real node, and
// reads, checks and stores each version, but has no engine that would apply the version. Create HollowNodes with NewHollow.
type HollowNodes struct {
	nodes  map[string]*hollowNode
	states *States
}

type hollowNode struct {
	config       agent.Config
	region, zone int

	stop  context.CancelFunc // nil while the node is stopped
	ended chan struct{}      // closed when the node's agent has ended
}

// NewHollow creates nodes without starting them. Each node has the configuration of base and own, except for its own
// name, number, store and hooks. The nodes' traffic is counted by meter, and their active versions are recorded in states.
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

// start registers a stopped node in states and starts it. It does nothing if the node already runs. If emptyStore is set,
// start removes the node's store first.
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

// shutDown stops the node, if it runs, and waits until its agent has ended.
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

// Start starts all stopped nodes concurrently. If emptyStores is set, it removes the nodes' stores first.
func (h *HollowNodes) Start(ctx context.Context, emptyStores bool) error {
	return forEach(h.names(), func(_ int, name string) error { return h.start(ctx, name, emptyStores) })
}

// Stop stops all nodes concurrently and waits until their agents have ended.
func (h *HollowNodes) Stop() {
	forEach(h.names(), func(_ int, name string) error {
		h.nodes[name].shutDown()
		return nil
	})
}

// Restart stops the named nodes and starts them again, concurrently. If emptyStores is set, it removes the nodes' stores
// in between. If a name is unknown, Restart returns an error and stops no node.
func (h *HollowNodes) Restart(ctx context.Context, names []string, emptyStores bool) error {
	for _, name := range names {
		if h.nodes[name] == nil {
			return fmt.Errorf("no hollow node %s in this process", name)
		}
	}
	return forEach(names, func(_ int, name string) error {
		h.nodes[name].shutDown()
		return h.start(ctx, name, emptyStores)
	})
}
