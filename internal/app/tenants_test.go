package app

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// Versions with equal tenants must share one tenant table. A change of a quota, a certificate or a name needs a new table.
func TestTenantTables(t *testing.T) {
	text := program +
		"[[tenant]]\nname = \"a\"\nquota_per_s = 5\ncertificates = [\"a.example\"]\n" +
		"[[tenant]]\nname = \"b\"\n"
	s := serve(t, newConfiguration(parse(t, text), roomsCluster(endpointOf(testutil.StartAppServer(t, "b")))))
	apply := func(text string) *tenantTable {
		next := newConfiguration(parse(t, text), roomsCluster(endpointOf(testutil.StartAppServer(t, "b"))))
		if err := s.app.Apply(next); err != nil {
			t.Fatal(err)
		}
		return s.app.state.Load().tenants
	}
	first := s.app.state.Load().tenants
	otherLimits := strings.Replace(text, `max_retry_after = "600ms"`, `max_retry_after = "601ms"`, 1)
	if apply(otherLimits) != first {
		t.Error("a version with the same tenants does not share the table of the previous version")
	}
	if first.byName["b"] != 1 || first.byCertificate["a.example"] != 0 || first.index("c") >= 0 {
		t.Errorf("indices by name %v, by certificate %v; want b at 1, a.example at 0, no c", first.byName, first.byCertificate)
	}
	for name, change := range map[string][2]string{
		"a quota":       {"quota_per_s = 5", "quota_per_s = 6"},
		"a certificate": {"a.example", "b.example"},
		"a name":        {`name = "b"`, `name = "c"`},
	} {
		if other := apply(strings.Replace(text, change[0], change[1], 1)); other == first {
			t.Errorf("%s changed, but the version still shares the first table", name)
		}
	}
}
