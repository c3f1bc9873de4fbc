package app

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/priority"
	"yokestall/policy"
)

const (
	// idleLooks is how often clusters are looked at in the time that they stay active without requests.
	idleLooks = 4
	// knowledgeTimeout is how long an engine may take to say what it knows: one that has more to do than that starts anew.
	knowledgeTimeout = 200 * time.Millisecond
)

// memories are what the decisions of a cluster knew when its engines ended.
type memories struct {
	at      time.Time
	classes []config.Class // those that the knowledge is of, in its order
	tiers   map[priority.Key]policy.Snapshot
}

// activate gives the cluster's tiers, whose engines it starts where the cluster is idle. The error is that the cluster
// takes no more requests; nothing was sent then.
func (r *managedCluster) activate() (*tiers, error) {
	if t := r.active.Load(); t != nil {
		return t, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.active.Load(); t != nil {
		return t, nil
	}
	if r.retired.Load() || r.ctx.Err() != nil {
		return nil, engine.ErrRetired
	}
	t := r.apply(r.app.clock.Now())
	if r.leaving {
		for _, t := range r.all {
			t.cluster.Abort()
		}
	}
	return t, nil
}

// deactivate ends the engines of a cluster that had no request since a time on the clock, and has no stream open. What
// they know is kept. False: the cluster is in use, or idle already.
func (r *managedCluster) deactivate(since time.Duration) bool {
	if !r.unused(since) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.active.Load()
	if t == nil || r.retired.Load() {
		return false
	}
	known := r.remember()
	// A request counts itself as open before it looks at active: it either is seen here, or finds the cluster idle and
	// waits for r.mu to activate it again.
	r.active.Store(nil)
	if !r.unused(since) {
		r.active.Store(t)
		return false
	}
	r.memories = known
	for key, t := range r.all {
		delete(r.all, key)
		t.cluster.Retire()
	}
	return true
}

func (r *managedCluster) unused(since time.Duration) bool {
	return r.inFlight.Load() == 0 && time.Duration(r.lastUsed.Load()) < since && r.streams.count() == 0
}

// remember asks the engines what they know; r.mu is held.
func (r *managedCluster) remember() *memories {
	if len(r.all) == 0 {
		return r.memories
	}
	ctx, stop := context.WithTimeout(r.ctx, knowledgeTimeout)
	defer stop()
	m := &memories{at: time.Now(), classes: r.classes, tiers: map[priority.Key]policy.Snapshot{}}
	for key, t := range r.all {
		if k, err := t.cluster.Snapshot(ctx); err == nil {
			m.tiers[key] = k
		}
	}
	return m
}

// inherit takes over what a cluster's decisions knew under other settings: what servers bear and how they answer
// doesn't change with the rules.
func (r *managedCluster) inherit(from *managedCluster) {
	from.mu.Lock()
	known := from.remember()
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active.Load() == nil { // else it has found out for itself
		r.memories = known
	}
}

// recall has a tier that was just started begin with what is remembered of it; r.mu is held. Classes go by their names.
func (r *managedCluster) recall(key priority.Key, t *tier) {
	if r.memories == nil {
		return
	}
	k, ok := r.memories.tiers[key]
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(r.ctx, knowledgeTimeout)
	defer stop()
	own, err := t.cluster.Snapshot(ctx)
	if err != nil {
		return
	}
	k.Classes = byName(k.Classes, own.Classes, r.memories.classes, r.classes)
	t.cluster.Restore(k, time.Since(r.memories.at))
}

// byName gives what is known of classes in their new order; of one that is new, what there is of it.
func byName(known, own []policy.ClassSnapshot, old, now []config.Class) []policy.ClassSnapshot {
	out := slices.Clone(own)
	for i := range out {
		for j := range known {
			if i < len(now) && j < len(old) && now[i].Name == old[j].Name {
				out[i] = known[j]
			}
		}
	}
	return out
}

// idleAfter is how long clusters of a version stay active without requests: at least until servers are warm that were
// cold at the last one, and late answers to it are not listened for any more.
func (a *App) idleAfter(s *state) time.Duration {
	after := max(s.program.ClusterIdle, s.settings.Rules.SlowStartWindow+s.settings.Rules.OverloadDuration)
	if s.program.Repeats.Late {
		for i := range s.program.Classes {
			after = max(after, s.program.Classes[i].DedupWindow)
		}
	}
	return after
}

// deactivateIdle ends the engines of all clusters that have been without requests for long enough at a time on the
// clock, and gives how many that were.
func (a *App) deactivateIdle(now time.Duration) (ended int) {
	s := a.state.Load()
	since := now - a.idleAfter(s)
	for _, r := range s.clusters {
		if r.deactivate(since) {
			ended++
		}
	}
	return ended
}

// watchIdle looks for idle clusters until the app ends.
func (a *App) watchIdle() {
	for {
		look := time.NewTimer(a.idleAfter(a.state.Load()) / idleLooks)
		select {
		case <-a.ctx.Done():
			look.Stop()
			return
		case <-look.C:
			a.deactivateIdle(a.clock.Now())
		}
	}
}

// ActiveClusters tells how many clusters hold engines at present.
func (a *App) ActiveClusters() (count int) {
	for _, r := range a.state.Load().clusters {
		if r.active.Load() != nil {
			count++
		}
	}
	return count
}
