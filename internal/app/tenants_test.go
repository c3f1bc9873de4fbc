package app

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// Versions with equal tenants share one table, whose quotas hold over all clusters; another list takes over what is
// left.
func TestTenantTables(t *testing.T) {
	text := program +
		"[[tenant]]\nname = \"a\"\nquota_per_s = 5\ncertificates = [\"a.example\"]\n" +
		"[[tenant]]\nname = \"b\"\n"
	s := serve(t, snapshot(parse(t, text), rooms(endpointOf(testutil.StartAppServer(t, "b")))))
	apply := func(text string) *tenantTable {
		if err := s.app.Apply(snapshot(parse(t, text), rooms(endpointOf(testutil.StartAppServer(t, "b"))))); err != nil {
			t.Fatal(err)
		}
		return s.app.state.Load().tenants
	}
	first := s.app.state.Load().tenants
	otherLimits := strings.Replace(text, `max_retry_after = "600ms"`, `max_retry_after = "601ms"`, 1)
	if apply(otherLimits) != first {
		t.Error("a version with the same tenants has a table of its own")
	}
	if first.byName["b"] != 1 || first.byCertificate["a.example"] != 0 || first.index("c") >= 0 {
		t.Errorf("places %v, by certificate %v", first.byName, first.byCertificate)
	}
	for name, change := range map[string][2]string{
		"a quota":       {"quota_per_s = 5", "quota_per_s = 6"},
		"a certificate": {"a.example", "b.example"},
		"a name":        {`name = "b"`, `name = "c"`},
	} {
		if other := apply(strings.Replace(text, change[0], change[1], 1)); other == first {
			t.Errorf("%s changed, and the table is the same", name)
		}
	}
}
