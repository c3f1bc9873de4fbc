package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// Placement says which hollow nodes are in a process, and where they stand.
type Placement struct {
	First, Count   int // hollow nodes, by their number among all of them
	Offset         int // nodes of the fleet that are not hollow
	Regions, Zones int
}

// nodeName is the name of a hollow node.
func nodeName(i int) string { return fmt.Sprintf("h%05d", i) }

// HollowNodes are nodes without traffic: each takes part in the fleet's agreement by the code of any other node, reads and
// checks each version and keeps it, and has nothing that would act on it. Create it with NewHollow.
type HollowNodes struct {
	nodes  map[string]*hollowNode
	states *States
}

type hollowNode struct {
	config       agent.Config
	region, zone int

	stop  context.CancelFunc // nil: it is stopped
	ended chan struct{}
}

// NewHollow makes nodes that have not been started. Each has base's configuration and own's file, but for a name, a
// number and a store of its own.
func NewHollow(base agent.Config, own *config.Program, at Placement, meter *Meter, states *States) *HollowNodes {
	h := &HollowNodes{nodes: map[string]*hollowNode{}, states: states}
	for i := at.First; i < at.First+at.Count; i++ {
		n := &hollowNode{config: base, region: i % at.Regions, zone: i % at.Zones}
		name := nodeName(i)
		n.config.Name = name
		n.config.Dir = filepath.Join(base.Dir, name)
		n.config.Hooks = meter.Hooks(n.region)
		n.config.Hooks.Applied = func(rules consensus.ActiveVersions, alone bool) { states.Record(name, rules, alone) }
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

// start starts a node; states knows it from then on.
func (h *HollowNodes) start(ctx context.Context, name string, empty bool) error {
	n := h.nodes[name]
	if n.stop != nil {
		return nil
	}
	if empty {
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

func (n *hollowNode) shutDown() {
	if n.stop == nil {
		return
	}
	n.stop()
	<-n.ended
	n.stop = nil
}

// each does something with nodes, all at once.
func (h *HollowNodes) each(names []string, do func(name string) error) error {
	errs := make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { errs[i] = do(name) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (h *HollowNodes) names() (list []string) {
	for name := range h.nodes {
		list = append(list, name)
	}
	return list
}

// Start starts all nodes that are stopped, at once.
func (h *HollowNodes) Start(ctx context.Context, empty bool) error {
	return h.each(h.names(), func(name string) error { return h.start(ctx, name, empty) })
}

// Stop stops all nodes.
func (h *HollowNodes) Stop() {
	h.each(h.names(), func(name string) error { h.nodes[name].shutDown(); return nil })
}

// Restart stops nodes and starts them again, all at once.
func (h *HollowNodes) Restart(ctx context.Context, names []string, empty bool) error {
	for _, name := range names {
		if h.nodes[name] == nil {
			return fmt.Errorf("there is no node %s", name)
		}
	}
	return h.each(names, func(name string) error {
		h.nodes[name].shutDown()
		return h.start(ctx, name, empty)
	})
}
