package config

import (
	"bytes"
	"fmt"
	"regexp"

	"yokestall/internal/cluster"
)

// tenantsFile is a file of tenants as written.
type tenantsFile struct {
	tenantTables
	End struct {
		Tenants *int `toml:"tenants"`
	} `toml:"end"`
}

// IsTenants reports whether a text looks like a file of tenants, by the tables in it.
func IsTenants(text []byte) bool {
	return tenantsEndRE.Match(lastBytes(text)) || tenantTableRE.Match(text) && !otherTableRE.Match(text)
}

// ParseTenants parses a file of tenants: [[tenant]] tables as in the program's file, and a closing entry with their
// number, so that no part of a file is accepted as complete. The error has what is wrong by line:
//
//	[end]
//	tenants = 3
func ParseTenants(file File) ([]Tenant, error) {
	if len(file.Text) > MaxFile {
		return nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
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
		report("end", -1, "tenants", "%d tenants are named", len(f.Tenant))
	}
	var p Program
	p.readTenants(&f.tenantTables, report)
	if err := problems(); err != nil {
		return nil, err
	}
	return p.Tenants, nil
}

// WithTenants returns the program with the tenants of their own file.
func (p *Program) WithTenants(tenants []Tenant) *Program {
	out := *p
	out.Tenants = tenants
	return &out
}

var (
	tenantsEndRE  = regexp.MustCompile(`(?:^|\n)\[end\]\ntenants = ([0-9]{1,9})\n$`)
	tenantTableRE = regexp.MustCompile(`(?m)^[ \t]*\[\[[ \t]*tenant[ \t]*\]\]`)
	otherTableRE  = regexp.MustCompile(
		`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|limits|fleet|class|host|cluster|endpoint)[ \t.\]]`)
)

// lastBytes returns the end of a file, where its closing entry is.
func lastBytes(text []byte) []byte { return text[max(0, len(text)-64):] }
