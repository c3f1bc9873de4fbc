package route

import (
	"strings"
	"testing"
)

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
		"many clusters":      {[]string{"*"}, Route{Clusters: make([]WeightedCluster, MaxClustersPerRoute+1)}, "clusters: 65"},
		"nameless cluster":   {[]string{"*"}, Route{Clusters: to("")}, "no name"},
		"weights 0":          {[]string{"*"}, Route{Clusters: []WeightedCluster{{"a", 0}, {"b", 0}}}, "add up to 0"},
		"bad regex":          {[]string{"*"}, Route{Kind: PathRegex, Path: "(", Clusters: to("a")}, "regex"},
		"regex in two":       {[]string{"*"}, Route{Kind: PathRegex, Path: "a)|(b", Clusters: to("a")}, "regex"},
		"huge regex":         {[]string{"*"}, Route{Kind: PathRegex, Path: "(a{1000}){1000}", Clusters: to("a")}, "regex"},
		"no regex":           {[]string{"*"}, Route{Kind: PathRegex, Clusters: to("a")}, "is missing"},
		"no exact":           {[]string{"*"}, Route{Kind: PathExact, Clusters: to("a")}, "is missing"},
		"long path":          {[]string{"*"}, Route{Path: strings.Repeat("/", MaxPatternBytes+1), Clusters: to("a")}, "longer"},
		"unknown kind":       {[]string{"*"}, Route{Kind: 9, Clusters: to("a")}, "kind 9"},
		"template, no slash": {[]string{"*"}, Route{Kind: PathTemplate, Path: "a", Clusters: to("a")}, "begin with /"},
		"template, part":     {[]string{"*"}, Route{Kind: PathTemplate, Path: "/a{b}", Clusters: to("a")}, "whole segment"},
		"template, name":     {[]string{"*"}, Route{Kind: PathTemplate, Path: "/{b c}", Clusters: to("a")}, "letters"},
		"template, twice":    {[]string{"*"}, Route{Kind: PathTemplate, Path: "/{b}/{b}", Clusters: to("a")}, "twice"},
		"template, pattern":  {[]string{"*"}, Route{Kind: PathTemplate, Path: "/{b=x*}", Clusters: to("a")}, "* or **"},
		"template, rest":     {[]string{"*"}, Route{Kind: PathTemplate, Path: "/**/b", Clusters: to("a")}, "the last"},
		"header, no name":    {[]string{"*"}, Route{Headers: []HeaderMatcher{{}}, Clusters: to("a")}, "no name"},
		"header, bad regex":  {[]string{"*"}, Route{Headers: []HeaderMatcher{{Name: "x", Kind: HeaderRegex, Value: "["}}, Clusters: to("a")}, "header x"},
		"header, kind":       {[]string{"*"}, Route{Headers: []HeaderMatcher{{Name: "x", Kind: 99}}, Clusters: to("a")}, "kind 99"},
		"headers, many":      {[]string{"*"}, Route{Headers: make([]HeaderMatcher, MaxHeadersPerRoute+1), Clusters: to("a")}, "17; 16"},
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
