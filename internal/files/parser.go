package files

import (
	"crypto/sha256"
	"fmt"
	"sync"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

// Parser parses successive versions of a configuration incrementally. It caches the result of each file of two versions
// by the file's name and the hash of its content, so that only changed files are parsed. A file that is the same in both
// versions has the same parsed value in both.
//
// Unbundle and Change may be called concurrently.
type Parser struct {
	mu          sync.Mutex // guards the fields below in Unbundle and Change; not used by a Watcher, which owns its Parser
	programs    cache[partKey, *config.Program]
	tenants     cache[partKey, []config.Tenant]
	withTenants cache[withTenantsKey, *config.Program]
	clusters    cache[partKey, *cluster.Config]
	views       cache[hash, *xdsfile.View]
	routed      cache[routedKey, *config.Program]
	patches     cache[partKey, *cluster.Patch]
	changed     cache[changedKey, *cluster.Config]
	lastResults map[*cluster.Config]changeResult // results of Change, by the cluster as its file defines it
}

// withTenantsKey identifies a program that has its tenants from a tenants file.
type withTenantsKey struct {
	program *config.Program
	tenants partKey
}

// routedKey identifies a program that has its routes from files in xDS form.
type routedKey struct {
	program *config.Program
	view    *xdsfile.View
}

// NewParser returns a parser with empty caches.
func NewParser() *Parser { return &Parser{} }

// end ends the parsing of a version in all caches.
func (p *Parser) end(o outcome) {
	p.programs.end(o)
	p.tenants.end(o)
	p.withTenants.end(o)
	p.clusters.end(o)
	p.views.end(o)
	p.routed.end(o)
	p.patches.end(o)
	p.changed.end(o)
}

// parses returns the number of parse calls so far, for tests. All files in xDS form are parsed by one call.
func (p *Parser) parses() int {
	return p.programs.misses + p.tenants.misses + p.clusters.misses + p.views.misses + p.patches.misses
}

// check parses the files of a version and checks them together.
func (p *Parser) check(v *contents) (*Configuration, error) {
	program, err := p.programWithTenants(v)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(v.clusters))
	for i := range v.clusters {
		names[i] = v.clusters[i].name
	}
	parse := func(i int) (*cluster.Config, error) { return p.cluster(v.clusters[i]) }
	clusters, err := config.GatherClusters(names, parse)
	if err != nil {
		return nil, err
	}
	s := &Configuration{Program: program, Version: &cluster.Version{Clusters: clusters}, contentHash: v.hash()}
	if program.XDS.Folder == "" {
		return s, nil
	}
	return s, p.addView(s, v)
}

func (p *Parser) program(f part) (*config.Program, error) {
	return p.programs.get(f.key(), func() (*config.Program, error) {
		text, err := f.text()
		if err != nil {
			return nil, err
		}
		return config.ParseProgram(f.name, text)
	})
}

func (p *Parser) cluster(f part) (*cluster.Config, error) {
	return p.clusters.get(f.key(), func() (*cluster.Config, error) {
		text, err := f.text()
		if err != nil {
			return nil, err
		}
		return config.ParseCluster(config.File{Name: f.name, Text: text})
	})
}

// programWithTenants returns the program of a version, with the tenants of the tenants file if there is one.
func (p *Parser) programWithTenants(v *contents) (*config.Program, error) {
	if len(v.tenants) == 0 {
		return v.parsed, nil
	}
	f := v.tenants[0]
	tenants, err := p.tenants.get(f.key(), func() ([]config.Tenant, error) {
		text, err := f.text()
		if err != nil {
			return nil, err
		}
		return config.ParseTenants(config.File{Name: f.name, Text: text})
	})
	if err != nil {
		return nil, err
	}
	return p.withTenants.get(withTenantsKey{v.parsed, f.key()}, func() (*config.Program, error) {
		return v.parsed.WithTenants(tenants), nil
	})
}

// addView adds the clusters and routes of the files in xDS form to a configuration.
func (p *Parser) addView(s *Configuration, v *contents) error {
	view, err := p.view(v)
	if err != nil {
		return err
	}
	clusters := s.Version.Clusters
	for name, c := range view.Clusters {
		if first := clusters[name]; first != nil {
			return &cluster.Problem{Source: c.Source, Text: fmt.Sprintf("cluster %s is also defined in %s", name, first.Source)}
		}
		clusters[name] = c
	}
	r := view.Routes
	if r == nil {
		return nil
	}
	s.Program, err = p.routed.get(routedKey{s.Program, view}, func() (*config.Program, error) {
		return s.Program.Routed(r.Table, r.Hosts, r.Classes, r.Tenants)
	})
	return err
}

// view parses the files in xDS form. Since they refer to each other, all of them are parsed if one has changed.
func (p *Parser) view(v *contents) (*xdsfile.View, error) {
	t, from := XDSOptions(v.parsed)
	var key hash
	h := sha256.New()
	fmt.Fprintf(h, "%#v\n%#v\n", t, from)
	writeHashes(h, v.xds)
	h.Sum(key[:0])
	return p.views.get(key, func() (*xdsfile.View, error) {
		list := make([]config.File, 0, len(v.xds))
		for i := range v.xds {
			text, err := v.xds[i].text()
			if err != nil {
				return nil, err
			}
			list = append(list, config.File{Name: v.xds[i].name, Text: text})
		}
		return xdsfile.Parse(list, t, from)
	})
}
