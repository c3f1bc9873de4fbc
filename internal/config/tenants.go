package config

import (
	"bytes"
	"fmt"
	"regexp"

	"yokestall/internal/cluster"
)

// tenantsFile is the tenants' file as decoded.
type tenantsFile struct {
	tenantTables
	End struct {
		Tenants *int `toml:"tenants"`
	} `toml:"end"`
}

// IsTenants reports whether a text looks like a tenants' file: it ends with the closing entry of one, or has [[tenant]] tables
// and none of another kind of file.
func IsTenants(text []byte) bool {
	return tenantsEndRE.Match(lastBytes(text)) || tenantTableRE.Match(text) && !otherTableRE.Match(text)
}

// ParseTenants parses a tenants' file. The file has [[tenant]] tables as in the program's file, and must end with a closing
// entry that has their number, so that no truncated file is accepted as complete:
//
//	[end]
//	tenants = 3
//
// Errors are cluster.Problems with their lines.
func ParseTenants(file File) ([]Tenant, error) {
	tenants, err := parseTenants(file)
	if err := joinChecksumProblem(file.Name, file.Text, err); err != nil {
		return nil, err
	}
	return tenants, nil
}

func parseTenants(file File) ([]Tenant, error) {
	if len(file.Text) > MaxFileBytes {
		return nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFileBytes)}
	}
	if !tenantsEndRE.Match(lastBytes(file.Text)) {
		const text = `is not whole: the last lines have to be "[end]" and "tenants = N"`
		lastLine := bytes.Count(file.Text, []byte("\n")) + 1
		return nil, &cluster.Problem{Source: file.Name, Line: lastLine, Text: text}
	}
	var f tenantsFile
	if err := decode(file.Name, file.Text, &f, tenantLimits); err != nil {
		return nil, err
	}
	report, problems := Reporter(file.Name, file.Text)
	if n := f.End.Tenants; n == nil || *n != len(f.Tenant) {
		report("end", -1, "tenants", "the file has %d [[tenant]] tables, which must be the number here", len(f.Tenant))
	}
	var p Program
	p.readTenants(&f.tenantTables, report)
	if err := problems(); err != nil {
		return nil, err
	}
	return p.Tenants, nil
}

// WithTenants returns a copy of the program with the tenants of the tenants' file.
func (p *Program) WithTenants(tenants []Tenant) *Program {
	out := *p
	out.Tenants = tenants
	return &out
}

// tenantsEndRE matches the end of a complete tenants' file. tenantTableRE and otherTableRE match the headers of [[tenant]]
// tables and of tables that a tenants' file does not have.
var (
	tenantsEndRE  = regexp.MustCompile(`(?:^|\n)\[end\]\ntenants = ([0-9]{1,9})\n$`)
	tenantTableRE = regexp.MustCompile(`(?m)^[ \t]*\[\[[ \t]*tenant[ \t]*\]\]`)
	otherTableRE  = regexp.MustCompile(
		`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|limits|fleet|class|host|cluster|endpoint)[ \t.\]]`)
)

// lastBytes returns the last 64 bytes of a file, which are enough for its closing entry.
func lastBytes(text []byte) []byte { return text[max(0, len(text)-64):] }
