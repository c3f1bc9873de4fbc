package config

import (
	"bytes"
	"fmt"
	"regexp"

	"yokestall/internal/cluster"
)

// tenantsFile is a file of tenants alone.
type tenantsFile struct {
	tenantTables
	End struct {
		Tenants *int `toml:"tenants"`
	} `toml:"end"`
}

// IsTenants tells whether a text looks like a file of tenants, by the tables in it.
func IsTenants(text []byte) bool {
	return tenantsEnd.Match(lastBytes(text)) || tenantTable.Match(text) && !otherTable.Match(text)
}

// ParseTenants reads a file of tenants: [[tenant]] tables as in the program's file, and a closing entry that states
// how many they are, so that no part of a file is taken for the whole:
//
//	[end]
//	tenants = 3
func ParseTenants(file File) ([]Tenant, error) {
	if len(file.Text) > MaxFile {
		return nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
	}
	if !tenantsEnd.Match(lastBytes(file.Text)) {
		return nil, &cluster.Problem{Source: file.Name, Line: bytes.Count(file.Text, []byte("\n")) + 1, Text: "is not whole: " +
			`the last lines have to be "[end]" and "tenants = N"`}
	}
	var f tenantsFile
	if err := decode(file.Name, file.Text, &f, tenantLimits); err != nil {
		return nil, err
	}
	report, faults := Reporter(file.Name, file.Text)
	if n := f.End.Tenants; n == nil || *n != len(f.Tenant) {
		report("end", -1, "tenants", "%d tenants are named", len(f.Tenant))
	}
	var p Program
	p.tenants(&f.tenantTables, report)
	if err := faults(); err != nil {
		return nil, err
	}
	return p.Tenants, nil
}

// WithTenants gives the program with the tenants of their own file.
func (p *Program) WithTenants(tenants []Tenant) *Program {
	out := *p
	out.Tenants = tenants
	return &out
}

var (
	tenantsEnd  = regexp.MustCompile(`(?:^|\n)\[end\]\ntenants = ([0-9]{1,9})\n$`)
	tenantTable = regexp.MustCompile(`(?m)^[ \t]*\[\[[ \t]*tenant[ \t]*\]\]`)
	otherTable  = regexp.MustCompile(`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|limits|fleet|class|host|cluster|endpoint)[ \t.\]]`)
)

// lastBytes is where a file's closing entry stands.
func lastBytes(text []byte) []byte { return text[max(0, len(text)-64):] }
