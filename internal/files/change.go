package files

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// changedKey names what changes have made of a list.
type changedKey struct {
	list    *cluster.Cluster // as its file has it
	changes hash             // of the changes since, in their order
}

// extension is what the last changes made of a list, beside the versions that were read whole.
type extension struct {
	key  changedKey
	made *cluster.Cluster
}

// changedList is a list with the changes that it is to get.
type changedList struct {
	from    *cluster.Cluster
	key     changedKey
	patches []*cluster.Patch
}

// Change is as the function. What it gives is found again by Unbundle where it is told the same lists and changes.
func (p *Parser) Change(clusters map[string]*cluster.Cluster, changes []config.File) (map[string]*cluster.Cluster, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, lists, err := p.change(clusters, changes)
	p.patches.end(dropped)
	p.changed.end(dropped)
	if err != nil {
		return nil, err
	}
	if p.extended == nil {
		p.extended = map[*cluster.Cluster]extension{}
	}
	for name, l := range lists {
		p.extended[l.key.list] = extension{l.key, out[name]}
	}
	return out, nil
}

// change gives clusters as changes make them, and the lists that these changed, by the clusters' names.
func (p *Parser) change(clusters map[string]*cluster.Cluster, changes []config.File) (map[string]*cluster.Cluster, map[string]*changedList, error) {
	if len(changes) == 0 {
		return clusters, nil, nil
	}
	lists := map[string]*changedList{}
	for _, f := range changes {
		patch, err := p.patches.get(partKey{f.Name, sha256.Sum256(f.Text)}, func() (*cluster.Patch, error) { return config.ParseChange(f) })
		if err != nil {
			return nil, nil, err
		}
		l := lists[patch.Name]
		if l == nil {
			c := clusters[patch.Name]
			if c == nil {
				return nil, nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("there is no cluster %s", patch.Name)}
			}
			l = p.changesOf(c)
			lists[patch.Name] = l
		}
		l.add(patch, f)
	}
	out := maps.Clone(clusters)
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		var err error
		if out[name], err = p.made(lists[name]); err != nil {
			return nil, nil, err
		}
	}
	servers := 0
	for _, c := range out {
		servers += len(c.Endpoints)
	}
	if servers > config.MaxServers {
		f := changes[len(changes)-1]
		return nil, nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("over %d servers in all clusters together", config.MaxServers)}
	}
	return out, lists, nil
}

// changesOf begins the changes of a list, which may itself be what changes made.
func (p *Parser) changesOf(c *cluster.Cluster) *changedList {
	if key, held := keyOf(&p.changed, c); held {
		return &changedList{from: c, key: key}
	}
	for _, e := range p.extended {
		if e.made == c {
			return &changedList{from: c, key: e.key}
		}
	}
	return &changedList{from: c, key: changedKey{list: c}}
}

// made gives what the changes make of a list.
func (p *Parser) made(l *changedList) (*cluster.Cluster, error) {
	if e, held := p.extended[l.key.list]; held && e.key == l.key {
		p.changed.put(l.key, e.made)
	}
	return p.changed.get(l.key, l.apply)
}

func (l *changedList) add(patch *cluster.Patch, f config.File) {
	sum := sha256.Sum256(f.Text)
	l.key.changes = sha256.Sum256(slices.Concat(l.key.changes[:], sum[:]))
	l.patches = append(l.patches, patch)
}

func (l *changedList) apply() (c *cluster.Cluster, err error) {
	c = l.from
	for _, patch := range l.patches {
		if c, err = c.Apply(patch); err != nil {
			return nil, err
		}
	}
	return c, nil
}
