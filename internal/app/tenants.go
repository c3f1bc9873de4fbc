package app

import (
	"slices"

	"yokestall/internal/config"
	"yokestall/policy"
)

// tenantTable is what requests see of a version's tenants: their places by name and by certificate, and one table of
// token buckets for all clusters. Versions with equal tenants share one, so that a change of anything else costs
// nothing here. It is not changed once it is there, but for the buckets.
type tenantTable struct {
	list          []config.Tenant
	nodes         int
	byName        map[string]int
	byCertificate map[string]int // by names in clients' certificates
	quotas        *policy.Quotas
}

// newTenantTable gives the table of a program's tenants: the one of the version before, nil for none, where it still
// fits. What is left of a tenant's quota goes on with the tenant.
func newTenantTable(before *tenantTable, p *config.Program) (*tenantTable, error) {
	if before != nil && before.fits(p) {
		return before, nil
	}
	t := &tenantTable{list: p.Tenants, nodes: p.Nodes, byName: make(map[string]int, len(p.Tenants)), byCertificate: map[string]int{}}
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
	if before != nil {
		t.quotas.Restore(before.quotas, func(tenant int) int { return before.place(t.list[tenant].Name) })
	}
	return t, nil
}

// fits tells whether a program has the table's tenants. A list that was kept from the version before is seen to be
// the same without a look at each tenant.
func (t *tenantTable) fits(p *config.Program) bool {
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

// place gives a tenant's place in the list by its name; below 0: there is none.
func (t *tenantTable) place(name string) int {
	if i, ok := t.byName[name]; ok {
		return i
	}
	return -1
}
