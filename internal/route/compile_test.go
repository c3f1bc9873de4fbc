package route

import (
	"strings"
	"testing"
)

func TestCompileErrors(t *testing.T) {
	all, toA := []string{"*"}, singleCluster("a")
	header := func(kind HeaderKind, value string) []HeaderMatcher {
		return []HeaderMatcher{{Name: "x", Kind: kind, Value: value}}
	}
	for name, c := range map[string]struct {
		domains []string
		route   Route
		want    string
	}{
		"no domains":         {nil, Route{Clusters: toA}, "no domains"},
		"domain twice":       {[]string{"a.b", "A.b"}, Route{Clusters: toA}, `"A.b" is used more than once`},
		"star twice":         {[]string{"*", "*"}, Route{Clusters: toA}, `"*" is used more than once`},
		"star inside":        {[]string{"a.*.b"}, Route{Clusters: toA}, "one end"},
		"two stars":          {[]string{"*.a.*"}, Route{Clusters: toA}, "one end"},
		"empty domain":       {[]string{""}, Route{Clusters: toA}, "1 to 255"},
		"no clusters":        {all, Route{}, "clusters: 0"},
		"many clusters":      {all, Route{Clusters: make([]WeightedCluster, MaxClustersPerRoute+1)}, "clusters: 65"},
		"nameless cluster":   {all, Route{Clusters: singleCluster("")}, "no name"},
		"weights 0":          {all, Route{Clusters: []WeightedCluster{{"a", 0}, {"b", 0}}}, "add up to 0"},
		"bad regex":          {all, Route{Kind: PathRegex, Path: "(", Clusters: toA}, "regex"},
		"regex in two":       {all, Route{Kind: PathRegex, Path: "a)|(b", Clusters: toA}, "regex"},
		"huge regex":         {all, Route{Kind: PathRegex, Path: "(a{1000}){1000}", Clusters: toA}, "regex"},
		"no regex":           {all, Route{Kind: PathRegex, Clusters: toA}, "is missing"},
		"no exact":           {all, Route{Kind: PathExact, Clusters: toA}, "is missing"},
		"long path":          {all, Route{Path: strings.Repeat("/", MaxPatternBytes+1), Clusters: toA}, "longer"},
		"unknown kind":       {all, Route{Kind: 9, Clusters: toA}, "kind 9"},
		"template, no slash": {all, Route{Kind: PathTemplate, Path: "a", Clusters: toA}, "begin with /"},
		"template, part":     {all, Route{Kind: PathTemplate, Path: "/a{b}", Clusters: toA}, "whole segment"},
		"template, name":     {all, Route{Kind: PathTemplate, Path: "/{b c}", Clusters: toA}, "letters"},
		"template, twice":    {all, Route{Kind: PathTemplate, Path: "/{b}/{b}", Clusters: toA}, "twice"},
		"template, pattern":  {all, Route{Kind: PathTemplate, Path: "/{b=x*}", Clusters: toA}, "* or **"},
		"template, rest":     {all, Route{Kind: PathTemplate, Path: "/**/b", Clusters: toA}, "the last"},
		"header, no name":    {all, Route{Headers: []HeaderMatcher{{}}, Clusters: toA}, "no name"},
		"header, bad regex":  {all, Route{Headers: header(HeaderRegex, "["), Clusters: toA}, "header x"},
		"header, kind":       {all, Route{Headers: header(99, ""), Clusters: toA}, "kind 99"},
		"headers, many":      {all, Route{Headers: make([]HeaderMatcher, MaxHeadersPerRoute+1), Clusters: toA}, "17 conditions on header fields, at most 16"},
	} {
		c.route.Name = "the-route"
		_, err := Compile([]VirtualHost{{Name: "the-host", Domains: c.domains, Routes: []Route{c.route}}})
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "the-host") {
			t.Errorf("%s: got error %v, want one that contains %q and the-host", name, err, c.want)
		}
	}
	if _, err := Compile([]VirtualHost{{Domains: []string{"*"}, Routes: make([]Route, MaxRoutes+1)}}); err == nil {
		t.Error("Compile returned no error for more than MaxRoutes routes")
	}
}

func FuzzCompile(f *testing.F) {
	f.Add(uint8(2), "/hotels/{hotel}/rooms/*", "*.example.org", "/hotels/1/rooms/2")
	f.Add(uint8(3), "/book/[0-9]+", "a.*", "/book/1")
	f.Add(uint8(0), "/", "*", "*")
	f.Fuzz(func(_ *testing.T, kind uint8, path, domain, request string) {
		table, err := Compile([]VirtualHost{{Domains: []string{domain}, Routes: []Route{
			{Kind: PathKind(kind), Path: path, Clusters: singleCluster("a")},
		}}})
		if err == nil {
			table.Lookup(&Request{Host: domain, Path: request})
		}
	})
}
