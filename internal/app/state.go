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

// state is the configuration in force, as requests read it. It is immutable, except that its clusters change internally
// and ApplyClusters updates them.
type state struct {
	program  *config.Program
	version  *cluster.Version
	tenants  *tenantTable
	settings *policy.Settings // the policy's settings, which all clusters share
	clusters map[string]*managedCluster
	// rejectedClasses has, by class name, the reason why the class's requests are rejected while this state is in force.
	rejectedClasses map[string]string
	// sequence is the number of this state. It increases by 1 with each state.
	sequence uint64
	// validFrom has, by class name, the sequence of the first state whose routed requests may still send attempts. Without
	// an entry, the requests of all states may. validFrom has an effect only if App.LeaseValid is set; see sendAllowed.
	validFrom map[string]uint64
}

// newState returns the state that follows the old state, without clusters. The new state shares the tenant table and the
// settings of the old state if they are equal.
func newState(old *state, s *files.Configuration, rejectedClasses map[string]string) (*state, error) {
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
		clusters: map[string]*managedCluster{}, rejectedClasses: rejectedClasses, sequence: old.sequence + 1,
	}
	next.validFrom = validFrom(old, next)
	return next, nil
}

// newSettings returns the policy's settings for a program, or the previous settings if they are equal. previous may be nil.
func newSettings(previous *policy.Settings, p *config.Program, tenants *tenantTable) (*policy.Settings, error) {
	s := policy.DefaultSettings()
	s.NodeCount, s.NodeIndex, s.Zone = p.Nodes, p.Node, zoneNumber(p.Zone)
	s.Limits, s.Rules = p.Limits, p.Rules
	s.Tick = 0 // events are handled immediately
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Quotas = tenants.quotas
	if err := s.Check(); err != nil {
		return nil, err
	}
	// Quotas are compared by pointer, since a comparison of the token buckets would race with requests.
	if previous != nil && previous.Quotas == s.Quotas && equalExceptQuotas(*previous, s) {
		return previous, nil
	}
	return &s, nil
}

func equalExceptQuotas(x, y policy.Settings) bool {
	x.Quotas, y.Quotas = nil, nil
	return reflect.DeepEqual(x, y)
}

// zoneNumber returns the policy's number for a zone: a hash of the zone's name, so that every node uses the same number.
func zoneNumber(name string) int {
	h := fnv.New32a()
	io.WriteString(h, name)
	return int(h.Sum32() >> 1)
}
