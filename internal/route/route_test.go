package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
)

func to(cluster string) []Weighted { return []Weighted{{Cluster: cluster}} }

func compile(t testing.TB, hosts ...VirtualHost) *Table {
	t.Helper()
	table, err := Compile(hosts)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestHosts(t *testing.T) {
	host := func(domains ...string) VirtualHost {
		return VirtualHost{Domains: domains, Routes: []Route{{Clusters: to(domains[0])}}}
	}
	table := compile(t, host("*"), host("rates.example.org"), host("*.example.org"), host("*-b.example.org"),
		host("rates.*"), host("*.org"), host("[::1]"))
	for name, want := range map[string]string{
		"rates.example.org":      "rates.example.org",
		"Rates.Example.org:8080": "rates.example.org",
		"a.example.org":          "*.example.org",
		"x-b.example.org":        "*-b.example.org",
		"example.org":            "*.org",
		".example.org":           "*.org", // the star stands for at least one letter
		"rates.example.com":      "rates.*",
		"rates.":                 "*",
		"else":                   "*",
		"":                       "*",
		"[::1]:80":               "[::1]",
		"[::1]":                  "[::1]",
	} {
		if m, ok := table.Lookup(&Request{Host: name, Path: "/"}); !ok || m.Cluster != want {
			t.Errorf("%q: %+v, want %s", name, m, want)
		}
	}
	none := compile(t, host("a.b"))
	if _, ok := none.Lookup(&Request{Host: "c.d", Path: "/"}); ok {
		t.Error("a host that is not named has a route")
	}
}

func TestRoutes(t *testing.T) {
	routes := []Route{
		{Name: "exact", Kind: Exact, Path: "/rates"},
		{Name: "put", Path: "/rates/", Methods: []string{"PUT", "POST"}},
		{Name: "beta", Path: "/rates/", Headers: []Header{{Name: "x-beta", Kind: HeaderPresent}}},
		{Name: "template", Kind: Template, Path: "/hotels/{hotel}/rooms/*"},
		{Name: "rest", Kind: Template, Path: "/files/{path=**}"},
		{Name: "regex", Kind: Regex, Path: "/book/[0-9]+(/cancel)?"},
		{Name: "prefix", Path: "/rates/"},
		{Name: "no curl", Path: "/", Headers: []Header{{Name: "User-Agent", Kind: HeaderPrefix, Value: "curl", Invert: true}}},
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

func TestHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		header Header
		values []string
		want   bool
	}{
		"exact":           {Header{Kind: HeaderExact, Value: "a"}, []string{"a"}, true},
		"exact, not":      {Header{Kind: HeaderExact, Value: "a"}, []string{"ab"}, false},
		"exact, absent":   {Header{Kind: HeaderExact, Value: ""}, nil, false},
		"prefix":          {Header{Kind: HeaderPrefix, Value: "a"}, []string{"ab"}, true},
		"suffix":          {Header{Kind: HeaderSuffix, Value: "b"}, []string{"ab"}, true},
		"contains":        {Header{Kind: HeaderContains, Value: "b"}, []string{"abc"}, true},
		"contains, not":   {Header{Kind: HeaderContains, Value: "d"}, []string{"abc"}, false},
		"regex":           {Header{Kind: HeaderRegex, Value: "a+"}, []string{"aaa"}, true},
		"regex, a part":   {Header{Kind: HeaderRegex, Value: "a+"}, []string{"aaab"}, false},
		"regex, either":   {Header{Kind: HeaderRegex, Value: "a|b"}, []string{"ab"}, false},
		"joined":          {Header{Kind: HeaderExact, Value: "a,b"}, []string{"a", "b"}, true},
		"absent":          {Header{Kind: HeaderPresent, Invert: true}, nil, true},
		"absent, present": {Header{Kind: HeaderPresent, Invert: true}, []string{""}, false},
	} {
		c.header.Name = "x-test-ID"
		table := compile(t, VirtualHost{Domains: []string{"*"}, Routes: []Route{{Headers: []Header{c.header}, Clusters: to("a")}}})
		header := map[string][]string{}
		if c.values != nil {
			header["X-Test-Id"] = c.values
		}
		if _, ok := table.Lookup(&Request{Path: "/", Header: header}); ok != c.want {
			t.Errorf("%s: %v", name, ok)
		}
	}
}

// The share of each cluster is its weight's; the same hash always goes the same way,
// also where hashes are plain numbers.
func TestWeightedClusters(t *testing.T) {
	table := compile(t, VirtualHost{Domains: []string{"*"}, Routes: []Route{{Clusters: []Weighted{
		{"a", 70}, {"none", 0}, {"b", 30},
	}}}})
	got := map[string]int{}
	const n = 20000
	for i := range uint64(n) {
		m, _ := table.Lookup(&Request{Path: "/", Hash: i})
		again, _ := table.Lookup(&Request{Path: "/", Hash: i})
		if again.Cluster != m.Cluster {
			t.Fatal("the same hash goes two ways")
		}
		got[m.Cluster]++
	}
	if got["none"] > 0 || math.Abs(float64(got["a"])/n-0.7) > 0.02 {
		t.Errorf("shares %v", got)
	}
}

func TestCompileErrors(t *testing.T) {
	for name, c := range map[string]struct {
		domains []string
		route   Route
		want    string
	}{
		"no domains":         {nil, Route{Clusters: to("a")}, "no domains"},
		"domain twice":       {[]string{"a.b", "A.b"}, Route{Clusters: to("a")}, `"A.b" is another one's`},
		"star twice":         {[]string{"*", "*"}, Route{Clusters: to("a")}, `"*" is another one's`},
		"star inside":        {[]string{"a.*.b"}, Route{Clusters: to("a")}, "one end"},
		"two stars":          {[]string{"*.a.*"}, Route{Clusters: to("a")}, "one end"},
		"empty domain":       {[]string{""}, Route{Clusters: to("a")}, "1 to 255"},
		"no clusters":        {[]string{"*"}, Route{}, "clusters: 0"},
		"many clusters":      {[]string{"*"}, Route{Clusters: make([]Weighted, MaxClusters+1)}, "clusters: 65"},
		"nameless cluster":   {[]string{"*"}, Route{Clusters: to("")}, "no name"},
		"weights 0":          {[]string{"*"}, Route{Clusters: []Weighted{{"a", 0}, {"b", 0}}}, "add up to 0"},
		"bad regex":          {[]string{"*"}, Route{Kind: Regex, Path: "(", Clusters: to("a")}, "regex"},
		"regex in two":       {[]string{"*"}, Route{Kind: Regex, Path: "a)|(b", Clusters: to("a")}, "regex"},
		"huge regex":         {[]string{"*"}, Route{Kind: Regex, Path: "(a{1000}){1000}", Clusters: to("a")}, "regex"},
		"no regex":           {[]string{"*"}, Route{Kind: Regex, Clusters: to("a")}, "is missing"},
		"no exact":           {[]string{"*"}, Route{Kind: Exact, Clusters: to("a")}, "is missing"},
		"long path":          {[]string{"*"}, Route{Path: strings.Repeat("/", MaxPattern+1), Clusters: to("a")}, "longer"},
		"unknown kind":       {[]string{"*"}, Route{Kind: 9, Clusters: to("a")}, "kind 9"},
		"template, no slash": {[]string{"*"}, Route{Kind: Template, Path: "a", Clusters: to("a")}, "begin with /"},
		"template, part":     {[]string{"*"}, Route{Kind: Template, Path: "/a{b}", Clusters: to("a")}, "whole segment"},
		"template, name":     {[]string{"*"}, Route{Kind: Template, Path: "/{b c}", Clusters: to("a")}, "letters"},
		"template, twice":    {[]string{"*"}, Route{Kind: Template, Path: "/{b}/{b}", Clusters: to("a")}, "twice"},
		"template, pattern":  {[]string{"*"}, Route{Kind: Template, Path: "/{b=x*}", Clusters: to("a")}, "* or **"},
		"template, rest":     {[]string{"*"}, Route{Kind: Template, Path: "/**/b", Clusters: to("a")}, "the last"},
		"header, no name":    {[]string{"*"}, Route{Headers: []Header{{}}, Clusters: to("a")}, "no name"},
		"header, bad regex":  {[]string{"*"}, Route{Headers: []Header{{Name: "x", Kind: HeaderRegex, Value: "["}}, Clusters: to("a")}, "header x"},
		"header, kind":       {[]string{"*"}, Route{Headers: []Header{{Name: "x", Kind: 99}}, Clusters: to("a")}, "kind 99"},
		"headers, many":      {[]string{"*"}, Route{Headers: make([]Header, MaxHeaders+1), Clusters: to("a")}, "17; 16"},
	} {
		c.route.Name = "the-route"
		_, err := Compile([]VirtualHost{{Name: "the-host", Domains: c.domains, Routes: []Route{c.route}}})
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "the-host") {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
	if _, err := Compile([]VirtualHost{{Domains: []string{"*"}, Routes: make([]Route, MaxRoutes+1)}}); err == nil {
		t.Error("any number of routes is taken")
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
			case r.Kind == Template:
				r.Path += []string{"", "/*", "/**", "/{x}/b"}[rnd.IntN(4)]
			case r.Kind == Regex:
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
				case Prefix:
					fits = strings.HasPrefix(q.Path, r.Path)
				case Exact:
					fits = q.Path == r.Path
				case Template:
					expr := regexp.QuoteMeta(r.Path)
					expr = strings.ReplaceAll(expr, `/\*\*`, `/.*`)
					expr = strings.ReplaceAll(expr, `/\*`, `/[^/]+`)
					expr = strings.ReplaceAll(expr, `/\{x\}`, `/[^/]+`)
					fits = fit("^"+expr+"$", q.Path)
				case Regex:
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
			r.Kind, r.Path = Exact, fmt.Sprintf("/exact/%d", i)
			q.Path = r.Path
		case 1:
			r.Kind, r.Path = Template, fmt.Sprintf("/hotels/%d/rooms/{room}", i)
			q.Path = fmt.Sprintf("/hotels/%d/rooms/7", i)
		case 2:
			r.Path = fmt.Sprintf("/prefix/%d/", i)
			q.Path = r.Path + "x/y"
		case 3:
			r.Kind, r.Path = Regex, fmt.Sprintf("/book/%d/[0-9]+", i)
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

func FuzzCompile(f *testing.F) {
	f.Add(uint8(2), "/hotels/{hotel}/rooms/*", "*.example.org", "/hotels/1/rooms/2")
	f.Add(uint8(3), "/book/[0-9]+", "a.*", "/book/1")
	f.Add(uint8(0), "/", "*", "*")
	f.Fuzz(func(_ *testing.T, kind uint8, path, domain, request string) {
		table, err := Compile([]VirtualHost{{Domains: []string{domain}, Routes: []Route{
			{Kind: PathKind(kind), Path: path, Clusters: to("a")},
		}}})
		if err == nil {
			table.Lookup(&Request{Host: domain, Path: request})
		}
	})
}
