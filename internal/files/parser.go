package files

import (
	"crypto/sha256"
	"fmt"
	"io"
	"sync"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

// part is a file of a version. Its content is asked for where it has to be parsed, not before.
type part struct {
	name string
	sum  hash
	text func() ([]byte, error)
}

func partOf(f config.File) part {
	return part{name: f.Name, sum: sha256.Sum256(f.Text), text: func() ([]byte, error) { return f.Text, nil }}
}

func (f *part) key() partKey { return partKey{f.name, f.sum} }

// partKey names a content; the file's name goes into what is parsed of it.
type partKey struct {
	name string
	sum  hash
}

// version is the files of a version and the program's one parsed, not yet looked at further.
type version struct {
	program  part
	tenants  []part // one, where they have a file of their own
	clusters []part
	xds      []part
	parsed   *config.Program // of program
}

// sum is that of all files.
func (v *version) sum() (sum hash) {
	h := sha256.New()
	for _, list := range [][]part{{v.program}, v.tenants, v.clusters, v.xds} {
		sumOf(h, list)
	}
	h.Sum(sum[:0])
	return sum
}

func sumOf(to io.Writer, list []part) {
	fmt.Fprintf(to, "%d\n", len(list))
	for i := range list {
		fmt.Fprintf(to, "%q %x\n", list[i].name, list[i].sum)
	}
}

// Parser parses versions of a configuration, at the cost of what differs between them: what it made of a file is kept
// by the file's name and the hash of its content, for two versions. What has not changed is the same value in both.
type Parser struct {
	mu       sync.Mutex
	programs cache[partKey, *config.Program]
	tenants  cache[partKey, []config.Tenant]
	joined   cache[joinedKey, *config.Program]
	clusters cache[partKey, *cluster.Cluster]
	views    cache[hash, *xdsfile.View]
	routed   cache[routedKey, *config.Program]
	patches  cache[partKey, *cluster.Patch]
	changed  cache[changedKey, *cluster.Cluster]
	extended map[*cluster.Cluster]extension // of a list as its file has it
}

// joinedKey names a program with the tenants of their own file.
type joinedKey struct {
	program *config.Program
	tenants partKey
}

// routedKey names a program with the routes of files in xDS form.
type routedKey struct {
	program *config.Program
	view    *xdsfile.View
}

// NewParser makes one that has parsed nothing.
func NewParser() *Parser { return &Parser{} }

func (p *Parser) end(o outcome) {
	p.programs.end(o)
	p.tenants.end(o)
	p.joined.end(o)
	p.clusters.end(o)
	p.views.end(o)
	p.routed.end(o)
	p.patches.end(o)
	p.changed.end(o)
}

// parses counts what had to be parsed.
func (p *Parser) parses() int {
	return p.programs.misses + p.tenants.misses + p.clusters.misses + p.views.misses + p.patches.misses
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

func (p *Parser) cluster(f part) (*cluster.Cluster, error) {
	return p.clusters.get(f.key(), func() (*cluster.Cluster, error) {
		text, err := f.text()
		if err != nil {
			return nil, err
		}
		return config.ParseCluster(config.File{Name: f.name, Text: text})
	})
}

// withTenants gives the version's program, with the tenants of their own file if they have one.
func (p *Parser) withTenants(v *version) (*config.Program, error) {
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
	return p.joined.get(joinedKey{v.parsed, f.key()}, func() (*config.Program, error) { return v.parsed.WithTenants(tenants), nil })
}

// check parses a version's files and checks it as a whole.
func (p *Parser) check(v *version) (*Snapshot, error) {
	program, err := p.withTenants(v)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(v.clusters))
	for i := range v.clusters {
		names[i] = v.clusters[i].name
	}
	clusters, err := config.GatherClusters(names, func(i int) (*cluster.Cluster, error) { return p.cluster(v.clusters[i]) })
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Program: program, Version: &cluster.Version{Clusters: clusters}, contentHash: v.sum()}
	if program.XDS.Folder == "" {
		return s, nil
	}
	return s, p.addView(s, v)
}

// addView adds what the files in xDS form say.
func (p *Parser) addView(s *Snapshot, v *version) error {
	view, err := p.view(v)
	if err != nil {
		return err
	}
	clusters := s.Version.Clusters
	for name, c := range view.Clusters {
		if first := clusters[name]; first != nil {
			return &cluster.Problem{Source: c.Source, Text: fmt.Sprintf("cluster %s is %s's too", name, first.Source)}
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

// view reads the files in xDS form, which refer to each other: all of them where one has changed.
func (p *Parser) view(v *version) (*xdsfile.View, error) {
	t, from := XDSOptions(v.parsed)
	var key hash
	h := sha256.New()
	fmt.Fprintf(h, "%#v\n%#v\n", t, from)
	sumOf(h, v.xds)
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
