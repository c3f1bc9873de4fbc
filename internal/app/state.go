package app

import (
	"hash/fnv"
	"io"
	"reflect"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/policy"
)

// state is the configuration in force, as requests read it. It is immutable but for the state of its clusters.
type state struct {
	program  *config.Program
	version  *cluster.Version
	tenants  *tenantTable
	settings *policy.Settings // of all clusters
	clusters map[string]*managedCluster
	// refusedClasses has, by class, the reason why its requests are rejected while this state is in force.
	refusedClasses map[string]string
	// sequence counts the states.
	sequence uint64
	// validFrom has, by class, the sequence of the first state whose decisions are still valid; none: 0. Requests that
	// were decided earlier send no more attempts.
	validFrom map[string]uint64
}

// newState returns the state that follows another one, without clusters. Tenants and settings that are equal are
// shared.
func newState(old *state, s *files.Configuration, refusedClasses map[string]string) (*state, error) {
	tenants, err := newTenantTable(old.tenants, s.Program)
	if err != nil {
		return nil, err
	}
	settings, err := newSettings(old.settings, s.Program, tenants)
	if err != nil {
		return nil, err
	}
	next := &state{
		program: s.Program, version: s.Version, tenants: tenants, settings: settings,
		clusters: map[string]*managedCluster{}, refusedClasses: refusedClasses, sequence: old.sequence + 1,
	}
	next.validFrom = validFrom(old, next)
	return next, nil
}

// newSettings returns the policy's settings for a program: the previous ones where they are equal.
func newSettings(previous *policy.Settings, p *config.Program, tenants *tenantTable) (*policy.Settings, error) {
	s := policy.Defaults()
	s.NodeCount, s.NodeIndex, s.Zone = p.Nodes, p.Node, zoneNumber(p.Zone)
	s.Limits, s.Rules = p.Limits, p.Rules
	s.Tick = 0 // events are handled as they come
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Quotas = tenants.quotas
	if err := s.Check(); err != nil {
		return nil, err
	}
	// Quotas are compared by identity: comparing the token buckets would race with requests.
	if previous != nil && previous.Quotas == s.Quotas && equalExceptQuotas(*previous, s) {
		return previous, nil
	}
	return &s, nil
}

func equalExceptQuotas(x, y policy.Settings) bool {
	x.Quotas, y.Quotas = nil, nil
	return reflect.DeepEqual(x, y)
}

// zoneNumber returns the policy's number of a zone, which is the same on every node.
func zoneNumber(name string) int {
	h := fnv.New32a()
	io.WriteString(h, name)
	return int(h.Sum32() >> 1)
}
