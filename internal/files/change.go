package files

import (
	"fmt"
	"maps"
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// changedKey identifies a cluster after changes of its endpoint list.
type changedKey struct {
	original *cluster.Config // the cluster as its file defines it
	changes  hash            // hash of all changes that were applied to original, in their order
}

// changeResult is the result of the last Change of a cluster, with its key.
type changeResult struct {
	key    changedKey
	result *cluster.Config
}

// pendingChanges is a cluster and the changes that are still to be applied to it.
type pendingChanges struct {
	from    *cluster.Config // cluster before patches; may itself be the result of earlier changes
	key     changedKey      // key of the cluster after patches
	patches []*cluster.Patch
}

// Change is like the function Change. It caches its results for a later Unbundle of the same files and changes.
func (p *Parser) Change(
	clusters map[string]*cluster.Config, changes []config.File,
) (map[string]*cluster.Config, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, pending, err := p.change(clusters, changes)
	p.patches.end(discarded)
	p.changed.end(discarded)
	if err != nil {
		return nil, err
	}
	if p.lastResults == nil {
		p.lastResults = map[*cluster.Config]changeResult{}
	}
	for name, l := range pending {
		p.lastResults[l.key.original] = changeResult{l.key, out[name]}
	}
	return out, nil
}

// change returns the clusters after the changes, and the changes by cluster name.
func (p *Parser) change(clusters map[string]*cluster.Config, changes []config.File) (
	map[string]*cluster.Config, map[string]*pendingChanges, error,
) {
	if len(changes) == 0 {
		return clusters, nil, nil
	}
	pending, err := p.groupChanges(clusters, changes)
	if err != nil {
		return nil, nil, err
	}
	out := maps.Clone(clusters)
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		if out[name], err = p.applyChanges(pending[name]); err != nil {
			return nil, nil, err
		}
	}
	endpoints := 0
	for _, c := range out {
		endpoints += len(c.Endpoints)
	}
	if endpoints > config.MaxServers {
		text := fmt.Sprintf("the clusters of the version have over %d endpoints together", config.MaxServers)
		return nil, nil, &cluster.Problem{Source: changes[len(changes)-1].Name, Text: text}
	}
	return out, pending, nil
}

// groupChanges parses changes and returns them by the name of the cluster that they change.
func (p *Parser) groupChanges(
	clusters map[string]*cluster.Config, changes []config.File,
) (map[string]*pendingChanges, error) {
	pending := map[string]*pendingChanges{}
	for _, f := range changes {
		key := partKey{f.Name, hashOf(f.Text)}
		patch, err := p.patches.get(key, func() (*cluster.Patch, error) { return config.ParseChange(f) })
		if err != nil {
			return nil, err
		}
		l := pending[patch.Name]
		if l == nil {
			c := clusters[patch.Name]
			if c == nil {
				return nil, &cluster.Problem{Source: f.Name,
					Text: fmt.Sprintf("changes the cluster %s, which the version does not have", patch.Name)}
			}
			l = p.newPendingChanges(c)
			pending[patch.Name] = l
		}
		l.add(patch, key.hash)
	}
	return pending, nil
}

// newPendingChanges returns an empty list of changes of a cluster, which may itself be the result of earlier changes.
func (p *Parser) newPendingChanges(c *cluster.Config) *pendingChanges {
	if key, found := keyOf(&p.changed, c); found {
		return &pendingChanges{from: c, key: key}
	}
	for _, e := range p.lastResults {
		if e.result == c {
			return &pendingChanges{from: c, key: e.key}
		}
	}
	return &pendingChanges{from: c, key: changedKey{original: c}}
}

// applyChanges returns the cluster after the changes. If the result is cached, it is the cached value.
func (p *Parser) applyChanges(l *pendingChanges) (*cluster.Config, error) {
	if e, found := p.lastResults[l.key.original]; found && e.key == l.key {
		p.changed.put(l.key, e.result)
	}
	return p.changed.get(l.key, l.apply)
}

// add appends a change. textHash is the hash of the change's text.
func (l *pendingChanges) add(patch *cluster.Patch, textHash hash) {
	l.key.changes = hashOf(slices.Concat(l.key.changes[:], textHash[:]))
	l.patches = append(l.patches, patch)
}

func (l *pendingChanges) apply() (c *cluster.Config, err error) {
	c = l.from
	for _, patch := range l.patches {
		if c, err = c.Apply(patch); err != nil {
			return nil, err
		}
	}
	return c, nil
}
