package app

import (
	"context"
	"maps"
	"time"

	"yokestall/internal/config"
	"yokestall/policy"
)

// askFor is how long an engine may take to say what it knows: one that has more to do than that starts anew.
const askFor = 200 * time.Millisecond

// learn takes over what a cluster's decisions knew under other settings: what servers bear and how they answer doesn't change with the
// rules. Classes go by their names.
func (r *running) learn(from *running, old, now []config.Class) {
	ctx, stop := context.WithTimeout(r.ctx, askFor)
	defer stop()
	from.mu.Lock()
	before := maps.Clone(from.all)
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, t := range r.all {
		if before[key] == nil {
			continue
		}
		asked := time.Now()
		k, err := before[key].cluster.Knowledge(ctx)
		if err != nil {
			continue
		}
		own, err := t.cluster.Knowledge(ctx)
		if err != nil {
			continue
		}
		k.Classes = byName(k.Classes, own.Classes, old, now)
		t.cluster.Inherit(k, time.Since(asked))
	}
}

// byName gives what is known of classes in their new order; of one that is new, what there is of it.
func byName(known, own []policy.ClassKnowledge, old, now []config.Class) []policy.ClassKnowledge {
	for i := range own {
		for j := range known {
			if i < len(now) && j < len(old) && now[i].Name == old[j].Name {
				own[i] = known[j]
			}
		}
	}
	return own
}
