package files

import (
	"fmt"
	"path/filepath"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const (
	// ProgramPart is the name of the program's file in a bundle. Cluster files have their base names there.
	ProgramPart = "yokestall.toml"
	// TenantsPart is the name of the tenants file in a bundle. It can't be the name of a cluster file, which ends in
	// .toml.
	TenantsPart = "tenants"
)

// Bundle returns the files of the configuration whose program's file is at path, as a version that a fleet can agree on:
// the program's file, the tenants file if there is one, and the cluster files. It returns an error if a file can't be
// read or Unbundle rejects the files.
func Bundle(path string) ([]config.File, error) {
	v, err := newReader(path).scanAtRest(NewParser())
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

// bundleParts returns the files of a version under the names that they have in a bundle.
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
			return nil, &cluster.Problem{Source: f.name,
				Text: "a cluster file of a version can't be named yokestall.toml, nor have a + in its name"}
		}
		f.name = name
		parts = append(parts, f)
	}
	return parts, nil
}

// Unbundle parses and checks the files of a version, as Load does for the files of a node.
func Unbundle(list []config.File) (*Configuration, error) { return NewParser().Unbundle(list) }

// Unbundle parses and checks the files of a version. It reuses the parsed values of files that one of the two versions
// before had too.
func (p *Parser) Unbundle(list []config.File) (*Configuration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.unbundle(list)
	if err != nil {
		p.end(discarded)
		return nil, err
	}
	p.end(unbundled)
	clear(p.lastResults)
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

// sortParts sorts the files of a bundle by kind. The changes of endpoint lists keep their order.
func sortParts(list []config.File) (v *contents, changes []config.File, err error) {
	v = &contents{}
	total := 0
	for _, f := range list {
		if total += len(f.Text); total > maxTotalBytes {
			text := fmt.Sprintf("the files of the version have over %d bytes together", maxTotalBytes)
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
		return nil, nil, &cluster.Problem{Source: ProgramPart, Text: "is missing from the version"}
	}
	return v, changes, nil
}

// checkBundledProgram checks the rules that hold for a version of a fleet but not for the files of a single node.
func checkBundledProgram(v *contents) error {
	needsTenants, tenantFiles := v.parsed.Files.Tenants != "", len(v.tenants)
	switch {
	case needsTenants && tenantFiles != 1:
		text := "is missing from the version or occurs more than once: " + ProgramPart + " names a tenants file"
		return &cluster.Problem{Source: TenantsPart, Text: text}
	case !needsTenants && tenantFiles > 0:
		return &cluster.Problem{Source: TenantsPart,
			Text: ProgramPart + " names no tenants file, so that the version can't contain one"}
	case v.parsed.XDS.On():
		return &cluster.Problem{Source: ProgramPart, Field: "xds",
			Text: "a version of a fleet can't follow a control plane or a folder of files in xDS form"}
	case len(v.parsed.Hosts) == 0:
		return &cluster.Problem{Source: ProgramPart, Field: "host", Text: "is missing: a version of a fleet must have routes"}
	}
	return nil
}

// ChangePart returns the name in a bundle of a change of a cluster's endpoint list. others is the number of the cluster's
// changes before it.
func ChangePart(cluster string, others int) string { return fmt.Sprintf("%s+%04d", cluster, others+1) }

// IsChange reports whether the file with this name in a bundle is a change of an endpoint list.
func IsChange(name string) bool { return strings.Contains(name, "+") }

// Change applies changes of endpoint lists in their order and returns the resulting clusters. A cluster without a change
// is the same value as in clusters. The error names the change that can't be applied.
func Change(clusters map[string]*cluster.Config, changes []config.File) (map[string]*cluster.Config, error) {
	return NewParser().Change(clusters, changes)
}
