package route

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
)

func to(cluster string) []WeightedCluster { return []WeightedCluster{{Cluster: cluster}} }

func compile(t testing.TB, hosts ...VirtualHost) *Table {
	t.Helper()
	table, err := Compile(hosts)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestRoutes(t *testing.T) {
	routes := []Route{
		{Name: "exact", Kind: PathExact, Path: "/rates"},
		{Name: "put", Path: "/rates/", Methods: []string{"PUT", "POST"}},
		{Name: "beta", Path: "/rates/", Headers: []HeaderMatcher{{Name: "x-beta", Kind: HeaderPresent}}},
		{Name: "template", Kind: PathTemplate, Path: "/hotels/{hotel}/rooms/*"},
		{Name: "rest", Kind: PathTemplate, Path: "/files/{path=**}"},
		{Name: "regex", Kind: PathRegex, Path: "/book/[0-9]+(/cancel)?"},
		{Name: "prefix", Path: "/rates/"},
		{Name: "no curl", Path: "/", Headers: []HeaderMatcher{{Name: "User-Agent", Kind: HeaderPrefix, Value: "curl", Invert: true}}},
		{Name: "rest of it", Path: ""},
	}
	for i := range routes {
		routes[i].Clusters = to(routes[i].Name)
	}
	table := compile(t, VirtualHost{Domains: []string{"*"}, Routes: routes})
	curl := map[string][]string{"User-Agent": {"curl/8"}}
	for _, c := range []struct {
		method, path string
		header       map[string][]string
		want         string
	}{
		{"GET", "/rates", nil, "exact"},
		{"GET", "/rates?x=1", nil, "exact"},
		{"PUT", "/rates/1", nil, "put"},
		{"GET", "/rates/1", map[string][]string{"X-Beta": {"1"}}, "beta"},
		{"GET", "/rates/1", nil, "prefix"},
		{"GET", "/hotels/7/rooms/9", nil, "template"},
		{"GET", "/hotels//rooms/9", nil, "no curl"},
		{"GET", "/hotels/7/rooms/", nil, "no curl"},
		{"GET", "/hotels/7/rooms/9/x", curl, "rest of it"},
		{"GET", "/hotels/7/rooms", curl, "rest of it"},
		{"GET", "/files/a/b/c", nil, "rest"},
		{"GET", "/files/", nil, "rest"},
		{"GET", "/files", nil, "no curl"},
		{"GET", "/book/12", nil, "regex"},
		{"GET", "/book/12/cancel", nil, "regex"},
		{"GET", "/book/12/cancelled", nil, "no curl"},
		{"GET", "/x/book/12", nil, "no curl"},
		{"OPTIONS", "*", curl, "rest of it"},
	} {
		m, ok := table.Lookup(&Request{Path: c.path, Method: c.method, Header: c.header})
		if !ok || m.Cluster != c.want {
			t.Errorf("%s %s %v: %q, want %q", c.method, c.path, c.header, m.Cluster, c.want)
		}
	}
}

// The compiled table gives what a plain walk through the routes in order gives.
func TestSameAsInOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 9))
	parts := []string{"a", "b", "ab", ""}
	path := func() string {
		p := ""
		for range 1 + rnd.IntN(4) {
			p += "/" + parts[rnd.IntN(len(parts))]
		}
		return p
	}
	for range 300 {
		var routes []Route
		exprs := map[string]*regexp.Regexp{} // compiled once
		fit := func(expr, path string) bool {
			if exprs[expr] == nil {
				exprs[expr] = regexp.MustCompile(expr)
			}
			return exprs[expr].MatchString(path)
		}
		for i := range 1 + rnd.IntN(30) {
			r := Route{Kind: PathKind(rnd.IntN(4)), Path: path(), Clusters: to(fmt.Sprint(i))}
			switch {
			case r.Kind == PathTemplate:
				r.Path += []string{"", "/*", "/**", "/{x}/b"}[rnd.IntN(4)]
			case r.Kind == PathRegex:
				r.Path += []string{"", ".*", "[ab]/?", "|/a/b"}[rnd.IntN(4)]
			}
			if rnd.IntN(4) == 0 {
				r.Methods = []string{"PUT"}
			}
			routes = append(routes, r)
		}
		table := compile(t, VirtualHost{Domains: []string{"*"}, Routes: routes})
		for range 100 {
			q := &Request{Path: path(), Method: []string{"GET", "PUT"}[rnd.IntN(2)]}
			want := ""
			for _, r := range routes {
				if len(r.Methods) > 0 && q.Method != "PUT" {
					continue
				}
				fits := false
				switch r.Kind {
				case PathPrefix:
					fits = strings.HasPrefix(q.Path, r.Path)
				case PathExact:
					fits = q.Path == r.Path
				case PathTemplate:
					expr := regexp.QuoteMeta(r.Path)
					expr = strings.ReplaceAll(expr, `/\*\*`, `/.*`)
					expr = strings.ReplaceAll(expr, `/\*`, `/[^/]+`)
					expr = strings.ReplaceAll(expr, `/\{x\}`, `/[^/]+`)
					fits = fit("^"+expr+"$", q.Path)
				case PathRegex:
					fits = fit("^("+r.Path+")$", q.Path)
				}
				if fits {
					want = r.Clusters[0].Cluster
					break
				}
			}
			m, _ := table.Lookup(q)
			if m.Cluster != want {
				t.Fatalf("%s %s: route %q, want %q of %+v", q.Method, q.Path, m.Cluster, want, routes)
			}
		}
	}
}

func tableOf(t testing.TB, n int) (*Table, []Request) {
	var routes []Route
	var requests []Request
	for i := range n {
		r := Route{Clusters: to(fmt.Sprintf("c%d", i))}
		q := Request{Host: "rates.example.org:80", Method: "GET", Header: map[string][]string{"Accept": {"*/*"}}}
		switch i % 4 {
		case 0:
			r.Kind, r.Path = PathExact, fmt.Sprintf("/exact/%d", i)
			q.Path = r.Path
		case 1:
			r.Kind, r.Path = PathTemplate, fmt.Sprintf("/hotels/%d/rooms/{room}", i)
			q.Path = fmt.Sprintf("/hotels/%d/rooms/7", i)
		case 2:
			r.Path = fmt.Sprintf("/prefix/%d/", i)
			q.Path = r.Path + "x/y"
		case 3:
			r.Kind, r.Path = PathRegex, fmt.Sprintf("/book/%d/[0-9]+", i)
			q.Path = fmt.Sprintf("/book/%d/12", i)
		}
		routes = append(routes, r)
		requests = append(requests, q)
	}
	return compile(t, VirtualHost{Domains: []string{"*.example.org"}, Routes: routes}), requests
}

func TestLookupAllocatesNothing(t *testing.T) {
	table, requests := tableOf(t, 1000)
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		i++
		if _, ok := table.Lookup(&requests[i%len(requests)]); !ok {
			t.Fatal("no route")
		}
	}); n != 0 {
		t.Errorf("%v allocations a look-up", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, requests := tableOf(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Lookup(&requests[i%n]); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
