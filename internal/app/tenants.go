package app

import (
	"slices"

	"yokestall/internal/config"
	"yokestall/policy"
)

// tenantTable holds the tenants of a version, as requests read them: the tenants' indices by name and by certificate, and
// the token buckets of their quotas, which all clusters share. Versions with equal tenants share one tenantTable, so that
// other changes do not rebuild it. A tenantTable is immutable except for the token buckets.
type tenantTable struct {
	list          []config.Tenant
	nodes         int            // number of nodes in the fleet, among which quotas are divided
	byName        map[string]int // index of a tenant by its name
	byCertificate map[string]int // index of a tenant by a name in its client certificates
	quotas        *policy.Quotas
}

// newTenantTable returns the table of a program's tenants. It returns the previous table if that matches the program;
// otherwise the remaining quota of each tenant is carried over to the new table. previous may be nil.
func newTenantTable(previous *tenantTable, p *config.Program) (*tenantTable, error) {
	if previous != nil && previous.matches(p) {
		return previous, nil
	}
	t := &tenantTable{
		list: p.Tenants, nodes: p.Nodes,
		byName: make(map[string]int, len(p.Tenants)), byCertificate: map[string]int{},
	}
	quotas := make([]policy.Tenant, len(p.Tenants))
	for i := range p.Tenants {
		tenant := &p.Tenants[i]
		quotas[i] = tenant.Tenant
		t.byName[tenant.Name] = i
		for _, name := range tenant.Certificates {
			t.byCertificate[name] = i
		}
	}
	var err error
	if t.quotas, err = policy.NewQuotas(quotas, p.Nodes); err != nil {
		return nil, err
	}
	if previous != nil {
		t.quotas.Restore(previous.quotas, func(tenant int) int { return previous.index(t.list[tenant].Name) })
	}
	return t, nil
}

// matches reports whether a program has the same tenants and number of nodes as the table. If the table shares the
// program's list of tenants, the tenants are not compared one by one.
func (t *tenantTable) matches(p *config.Program) bool {
	if t.nodes != p.Nodes || len(t.list) != len(p.Tenants) {
		return false
	}
	if len(t.list) == 0 || &t.list[0] == &p.Tenants[0] {
		return true
	}
	return slices.EqualFunc(t.list, p.Tenants, func(x, y config.Tenant) bool {
		return x.Name == y.Name && x.Tenant == y.Tenant && slices.Equal(x.Certificates, y.Certificates)
	})
}

// index returns the index of the tenant with this name, or -1 if there is none.
func (t *tenantTable) index(name string) int {
	if i, ok := t.byName[name]; ok {
		return i
	}
	return -1
}

// correspondingTenant returns the index in this table of the tenant that has an index in another table, or -1 if this
// table has no tenant of that name. It returns 0 if this table has no tenants or if the other table lacks the index; the
// caller then migrates the request as one of tenant 0.
func (t *tenantTable) correspondingTenant(other *tenantTable, tenant int) int {
	if len(t.list) == 0 || tenant >= len(other.list) {
		return 0
	}
	return t.index(other.list[tenant].Name)
}
