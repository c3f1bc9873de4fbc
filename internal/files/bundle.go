package files

import (
	"fmt"
	"path/filepath"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const (
	// ProgramPart is the name of the program's own file in a bundle; its cluster files go by their base names.
	ProgramPart = "yokestall.toml"
	// TenantsPart is that of the tenants' own file. No cluster file has it, whose names end in .toml.
	TenantsPart = "tenants"
)

// Bundle reads a configuration as the files of a version that a fleet can agree on: the program's own, and its
// cluster files. It has to be good by Unbundle.
func Bundle(path string) ([]config.File, error) {
	v, err := newReader(path).scan(NewParser())
	if err != nil {
		return nil, err
	}
	v.program.name = ProgramPart
	parts := []part{v.program}
	for _, f := range v.tenants {
		f.name = TenantsPart
		parts = append(parts, f)
	}
	for _, f := range v.clusters {
		name := filepath.Base(f.name)
		if name == ProgramPart || IsChange(name) {
			return nil, &cluster.Problem{Source: f.name, Text: "a cluster file of a version can't have this name"}
		}
		f.name = name
		parts = append(parts, f)
	}
	var list []config.File
	for _, f := range parts {
		text, err := f.text()
		if err != nil {
			return nil, err
		}
		list = append(list, config.File{Name: f.name, Text: text})
	}
	_, err = Unbundle(list)
	return list, err
}

// Unbundle reads and checks a version's files, as Load does those of a folder.
func Unbundle(list []config.File) (*Snapshot, error) { return NewParser().Unbundle(list) }

// Unbundle is as the function, at the cost of what differs from the two versions before.
func (p *Parser) Unbundle(list []config.File) (*Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.unbundle(list)
	if err != nil {
		p.end(dropped)
		return nil, err
	}
	p.end(followed)
	clear(p.extended)
	return s, nil
}

func (p *Parser) unbundle(list []config.File) (*Snapshot, error) {
	v := &version{}
	var changes []config.File
	total := 0
	for _, f := range list {
		if total += len(f.Text); total > maxTotal {
			return nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("over %d bytes in all files together", maxTotal)}
		}
		switch {
		case f.Name == ProgramPart:
			v.program = partOf(f)
		case f.Name == TenantsPart:
			v.tenants = append(v.tenants, partOf(f))
		case IsChange(f.Name):
			changes = append(changes, f)
		default:
			v.clusters = append(v.clusters, partOf(f))
		}
	}
	if v.program.name == "" {
		return nil, &cluster.Problem{Source: ProgramPart, Text: "is missing"}
	}
	var err error
	if v.parsed, err = p.program(v.program); err != nil {
		return nil, err
	}
	switch named, given := v.parsed.Files.Tenants != "", len(v.tenants); {
	case named && given != 1:
		return nil, &cluster.Problem{Source: TenantsPart, Text: "is missing, or is there twice: " + ProgramPart + " names a file of tenants"}
	case !named && given > 0:
		return nil, &cluster.Problem{Source: TenantsPart, Text: ProgramPart + " names no file of tenants"}
	}
	if v.parsed.XDS.On() {
		return nil, &cluster.Problem{Source: ProgramPart, Field: "xds", Text: "a version can't follow a control plane"}
	}
	if len(v.parsed.Hosts) == 0 {
		return nil, &cluster.Problem{Source: ProgramPart, Field: "host", Text: "a version has routes"}
	}
	s, err := p.check(v)
	if err != nil {
		return nil, err
	}
	s.Version.Clusters, _, err = p.change(s.Version.Clusters, changes)
	return s, err
}

// ChangePart names the change of a cluster's list that follows so many others.
func ChangePart(cluster string, others int) string { return fmt.Sprintf("%s+%04d", cluster, others+1) }

// IsChange tells whether a part of a version is a change of a list, by its name.
func IsChange(name string) bool { return strings.Contains(name, "+") }

// Change gives clusters as changes make them, in their order; those that none changes are the same ones.
func Change(clusters map[string]*cluster.Cluster, changes []config.File) (map[string]*cluster.Cluster, error) {
	return NewParser().Change(clusters, changes)
}
