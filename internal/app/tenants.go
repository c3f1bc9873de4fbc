package app

import (
	"slices"

	"yokestall/internal/config"
	"yokestall/policy"
)

// tenantTable is what requests read of a version's tenants: their indices by name and by certificate, and one table of
// token buckets for all clusters. Versions with equal tenants share one, so that other changes cost nothing here. It is
// immutable but for the buckets.
type tenantTable struct {
	list          []config.Tenant
	nodes         int // of the fleet, among which quotas are divided
	byName        map[string]int
	byCertificate map[string]int // by names in client certificates
	quotas        *policy.Quotas
}

// newTenantTable returns the table of a program's tenants: the previous one where it still holds; previous may be nil.
// What is left of a tenant's quota passes to the new table.
func newTenantTable(previous *tenantTable, p *config.Program) (*tenantTable, error) {
	if previous != nil && previous.holds(p) {
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

// holds reports whether a program has the table's tenants. A list that is shared with the previous version is not
// compared tenant by tenant.
func (t *tenantTable) holds(p *config.Program) bool {
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

// index returns a tenant's index by its name; below 0: there is none.
func (t *tenantTable) index(name string) int {
	if i, ok := t.byName[name]; ok {
		return i
	}
	return -1
}

// sameTenant returns the index of another table's tenant in this one; below 0: it has none of the name. An index that
// the other table does not have, and every one where there are no tenants, gives 0.
func (t *tenantTable) sameTenant(other *tenantTable, tenant int) int {
	if len(t.list) == 0 || tenant >= len(other.list) {
		return 0
	}
	return t.index(other.list[tenant].Name)
}
