package files

import (
	"fmt"
	"maps"
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// changedKey identifies the result of changes of a cluster's endpoint list.
type changedKey struct {
	original *cluster.Config // as its file has it
	changes  hash            // of the changes since, in their order
}

// extension is the result of the last Change of a cluster.
type extension struct {
	key    changedKey
	result *cluster.Config
}

// pendingChanges is a cluster with changes that are to be applied to it.
type pendingChanges struct {
	from    *cluster.Config // may itself be the result of changes
	key     changedKey      // of the result
	patches []*cluster.Patch
}

// Change is like the function. Its results are cached for an Unbundle of the same files and changes.
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
	if p.extended == nil {
		p.extended = map[*cluster.Config]extension{}
	}
	for name, l := range pending {
		p.extended[l.key.original] = extension{l.key, out[name]}
	}
	return out, nil
}

// change returns the clusters after the changes, and the changes by the names of their clusters.
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
		text := fmt.Sprintf("over %d servers in all clusters together", config.MaxServers)
		return nil, nil, &cluster.Problem{Source: changes[len(changes)-1].Name, Text: text}
	}
	return out, pending, nil
}

// groupChanges parses changes and returns them by the names of the clusters that they change.
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
				return nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("there is no cluster %s", patch.Name)}
			}
			l = p.newPendingChanges(c)
			pending[patch.Name] = l
		}
		l.add(patch, key.hash)
	}
	return pending, nil
}

// newPendingChanges returns no changes so far to a cluster, which may itself be the result of changes.
func (p *Parser) newPendingChanges(c *cluster.Config) *pendingChanges {
	if key, found := keyOf(&p.changed, c); found {
		return &pendingChanges{from: c, key: key}
	}
	for _, e := range p.extended {
		if e.result == c {
			return &pendingChanges{from: c, key: e.key}
		}
	}
	return &pendingChanges{from: c, key: changedKey{original: c}}
}

// applyChanges returns the cluster after the changes; one that is cached is the same value.
func (p *Parser) applyChanges(l *pendingChanges) (*cluster.Config, error) {
	if e, found := p.extended[l.key.original]; found && e.key == l.key {
		p.changed.put(l.key, e.result)
	}
	return p.changed.get(l.key, l.apply)
}

// add appends a change, of which it is given the hash.
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
