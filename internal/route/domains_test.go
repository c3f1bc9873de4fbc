package route

import "testing"

func TestLookupByDomain(t *testing.T) {
	host := func(domains ...string) VirtualHost {
		return VirtualHost{Domains: domains, Routes: []Route{{Clusters: singleCluster(domains[0])}}}
	}
	table := mustCompile(t, host("*"), host("rates.example.org"), host("*.example.org"), host("*-b.example.org"),
		host("rates.*"), host("*.org"), host("[::1]"))
	for name, want := range map[string]string{
		"rates.example.org":      "rates.example.org",
		"Rates.Example.org:8080": "rates.example.org",
		"a.example.org":          "*.example.org",
		"x-b.example.org":        "*-b.example.org",
		"example.org":            "*.org",
		".example.org":           "*.org", // the wildcard stands for at least one character
		"rates.example.com":      "rates.*",
		"rates.":                 "*",
		"else":                   "*",
		"":                       "*",
		"[::1]:80":               "[::1]",
		"[::1]":                  "[::1]",
	} {
		if m, ok := table.Lookup(&Request{Host: name, Path: "/"}); !ok || m.Cluster != want {
			t.Errorf("host %q: got %+v, want cluster %s", name, m, want)
		}
	}
	none := mustCompile(t, host("a.b"))
	if _, ok := none.Lookup(&Request{Host: "c.d", Path: "/"}); ok {
		t.Error("Lookup found a route for a host that no domain matches")
	}
}
