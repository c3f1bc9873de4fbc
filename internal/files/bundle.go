package files

import (
	"fmt"
	"path/filepath"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const (
	// ProgramPart is the name of the program's own file in a bundle; its cluster files have their base names.
	ProgramPart = "yokestall.toml"
	// TenantsPart is the name of the tenants' own file. No cluster file has it, since their names end in .toml.
	TenantsPart = "tenants"
)

// Bundle reads a configuration as the files of a version that a fleet can agree on: the program's own, the tenants' and
// the cluster files. The error says why the files can't be read, or Unbundle rejects them.
func Bundle(path string) ([]config.File, error) {
	v, err := newReader(path).scan(NewParser())
	if err != nil {
		return nil, err
	}
	parts, err := bundleParts(v)
	if err != nil {
		return nil, err
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

// bundleParts returns the files of a version with their names in a bundle.
func bundleParts(v *contents) ([]part, error) {
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
	return parts, nil
}

// Unbundle parses and checks the files of a version, as Load does those of a folder. The error has what is wrong.
func Unbundle(list []config.File) (*Configuration, error) { return NewParser().Unbundle(list) }

// Unbundle parses a bundle. It reuses what is the same in one of the two previous versions.
func (p *Parser) Unbundle(list []config.File) (*Configuration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.unbundle(list)
	if err != nil {
		p.end(discarded)
		return nil, err
	}
	p.end(followed)
	clear(p.extended)
	return s, nil
}

func (p *Parser) unbundle(list []config.File) (*Configuration, error) {
	v, changes, err := sortParts(list)
	if err != nil {
		return nil, err
	}
	if v.parsed, err = p.program(v.program); err != nil {
		return nil, err
	}
	if err := checkBundledProgram(v); err != nil {
		return nil, err
	}
	s, err := p.check(v)
	if err != nil {
		return nil, err
	}
	s.Version.Clusters, _, err = p.change(s.Version.Clusters, changes)
	return s, err
}

// sortParts returns the files of a bundle by their kinds, and the changes of endpoint lists in their order.
func sortParts(list []config.File) (v *contents, changes []config.File, err error) {
	v = &contents{}
	total := 0
	for _, f := range list {
		if total += len(f.Text); total > maxTotalBytes {
			text := fmt.Sprintf("over %d bytes in all files together", maxTotalBytes)
			return nil, nil, &cluster.Problem{Source: f.Name, Text: text}
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
		return nil, nil, &cluster.Problem{Source: ProgramPart, Text: "is missing"}
	}
	return v, changes, nil
}

// checkBundledProgram checks what a fleet's version needs beyond what a node's own files need.
func checkBundledProgram(v *contents) error {
	needsTenants, tenantFiles := v.parsed.Files.Tenants != "", len(v.tenants)
	switch {
	case needsTenants && tenantFiles != 1:
		text := "is missing, or is there twice: " + ProgramPart + " names a file of tenants"
		return &cluster.Problem{Source: TenantsPart, Text: text}
	case !needsTenants && tenantFiles > 0:
		return &cluster.Problem{Source: TenantsPart, Text: ProgramPart + " names no file of tenants"}
	case v.parsed.XDS.On():
		return &cluster.Problem{Source: ProgramPart, Field: "xds", Text: "a version can't follow a control plane"}
	case len(v.parsed.Hosts) == 0:
		return &cluster.Problem{Source: ProgramPart, Field: "host", Text: "a version has routes"}
	}
	return nil
}

// ChangePart returns the name of a change of a cluster's endpoint list that follows a number of others.
func ChangePart(cluster string, others int) string { return fmt.Sprintf("%s+%04d", cluster, others+1) }

// IsChange reports whether a file of a bundle is a change of an endpoint list, by its name.
func IsChange(name string) bool { return strings.Contains(name, "+") }

// Change returns the clusters after the changes, applied in their order. Clusters without a change are the same values.
// The error says which change can't be applied.
func Change(clusters map[string]*cluster.Config, changes []config.File) (map[string]*cluster.Config, error) {
	return NewParser().Change(clusters, changes)
}
