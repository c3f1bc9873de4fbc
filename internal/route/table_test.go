package route

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
)

func singleCluster(cluster string) []WeightedCluster { return []WeightedCluster{{Cluster: cluster}} }

func mustCompile(t testing.TB, hosts ...VirtualHost) *Table {
	t.Helper()
	table, err := Compile(hosts)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLookupByCondition(t *testing.T) {
	routes := []Route{
		{Name: "exact", Kind: PathExact, Path: "/rates"},
		{Name: "put", Path: "/rates/", Methods: []string{"PUT", "POST"}},
		{Name: "beta", Path: "/rates/", Headers: []HeaderMatcher{{Name: "x-beta", Kind: HeaderPresent}}},
		{Name: "template", Kind: PathTemplate, Path: "/hotels/{hotel}/rooms/*"},
		{Name: "rest", Kind: PathTemplate, Path: "/files/{path=**}"},
		{Name: "regex", Kind: PathRegex, Path: "/book/[0-9]+(/cancel)?"},
		{Name: "prefix", Path: "/rates/"},
		{Name: "no curl", Path: "/", Headers: []HeaderMatcher{
			{Name: "User-Agent", Kind: HeaderPrefix, Value: "curl", Invert: true},
		}},
		{Name: "rest of it", Path: ""},
	}
	for i := range routes {
		routes[i].Clusters = singleCluster(routes[i].Name)
	}
	table := mustCompile(t, VirtualHost{Domains: []string{"*"}, Routes: routes})
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
			t.Errorf("%s %s %v: got cluster %q, want %q", c.method, c.path, c.header, m.Cluster, c.want)
		}
	}
}

// TestLookupFindsFirstInOrder checks that the table finds the same route as a search through the routes in order.
func TestLookupFindsFirstInOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 9))
	for range 300 {
		routes := randomRoutes(rnd)
		table := mustCompile(t, VirtualHost{Domains: []string{"*"}, Routes: routes})
		reference := referenceTable{routes: routes, exprs: map[string]*regexp.Regexp{}}
		for range 100 {
			q := &Request{Path: randomPath(rnd), Method: []string{"GET", "PUT"}[rnd.IntN(2)]}
			want := reference.lookup(q)
			m, _ := table.Lookup(q)
			if m.Cluster != want {
				t.Fatalf("%s %s: got route %q, want route %q of %+v", q.Method, q.Path, m.Cluster, want, routes)
			}
		}
	}
}

func randomPath(rnd *rand.Rand) string {
	parts := []string{"a", "b", "ab", ""}
	p := ""
	for range 1 + rnd.IntN(4) {
		p += "/" + parts[rnd.IntN(len(parts))]
	}
	return p
}

// randomRoutes returns 1 to 30 routes of all kinds. The cluster of each route has the route's index as its name.
func randomRoutes(rnd *rand.Rand) (routes []Route) {
	for i := range 1 + rnd.IntN(30) {
		r := Route{Kind: PathKind(rnd.IntN(4)), Path: randomPath(rnd), Clusters: singleCluster(fmt.Sprint(i))}
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
	return routes
}

// referenceTable finds a request's route by a search through all routes in order.
type referenceTable struct {
	routes []Route
	exprs  map[string]*regexp.Regexp // cache of compiled expressions
}

// lookup returns the cluster of the first route that matches, or "" if none does.
func (t *referenceTable) lookup(q *Request) string {
	for i := range t.routes {
		r := &t.routes[i]
		if (len(r.Methods) == 0 || q.Method == "PUT") && t.matchesPath(r, q.Path) {
			return r.Clusters[0].Cluster
		}
	}
	return ""
}

func (t *referenceTable) matchesPath(r *Route, path string) bool {
	switch r.Kind {
	case PathPrefix:
		return strings.HasPrefix(path, r.Path)
	case PathExact:
		return path == r.Path
	case PathTemplate:
		expr := regexp.QuoteMeta(r.Path)
		expr = strings.ReplaceAll(expr, `/\*\*`, `/.*`)
		expr = strings.ReplaceAll(expr, `/\*`, `/[^/]+`)
		expr = strings.ReplaceAll(expr, `/\{x\}`, `/[^/]+`)
		return t.matchesRegex("^"+expr+"$", path)
	case PathRegex:
		return t.matchesRegex("^("+r.Path+")$", path)
	}
	return false
}

func (t *referenceTable) matchesRegex(expr, path string) bool {
	if t.exprs[expr] == nil {
		t.exprs[expr] = regexp.MustCompile(expr)
	}
	return t.exprs[expr].MatchString(path)
}

// newLookupFixture returns a table of n routes of all kinds, and a request for each route.
func newLookupFixture(t testing.TB, n int) (*Table, []Request) {
	var routes []Route
	var requests []Request
	for i := range n {
		r := Route{Clusters: singleCluster(fmt.Sprintf("c%d", i))}
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
	return mustCompile(t, VirtualHost{Domains: []string{"*.example.org"}, Routes: routes}), requests
}

func TestLookupAllocatesNothing(t *testing.T) {
	table, requests := newLookupFixture(t, 1000)
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		i++
		if _, ok := table.Lookup(&requests[i%len(requests)]); !ok {
			t.Fatal("Lookup found no route")
		}
	}); n != 0 {
		t.Errorf("got %v allocations per lookup, want 0", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, requests := newLookupFixture(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Lookup(&requests[i%n]); !ok {
					b.Fatal("Lookup found no route")
				}
			}
		})
	}
}
