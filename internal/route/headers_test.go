package route

import "testing"

func TestHeaderMatchers(t *testing.T) {
	for name, c := range map[string]struct {
		header HeaderMatcher
		values []string
		want   bool
	}{
		"exact":           {HeaderMatcher{Kind: HeaderExact, Value: "a"}, []string{"a"}, true},
		"exact, not":      {HeaderMatcher{Kind: HeaderExact, Value: "a"}, []string{"ab"}, false},
		"exact, absent":   {HeaderMatcher{Kind: HeaderExact, Value: ""}, nil, false},
		"prefix":          {HeaderMatcher{Kind: HeaderPrefix, Value: "a"}, []string{"ab"}, true},
		"suffix":          {HeaderMatcher{Kind: HeaderSuffix, Value: "b"}, []string{"ab"}, true},
		"contains":        {HeaderMatcher{Kind: HeaderContains, Value: "b"}, []string{"abc"}, true},
		"contains, not":   {HeaderMatcher{Kind: HeaderContains, Value: "d"}, []string{"abc"}, false},
		"regex":           {HeaderMatcher{Kind: HeaderRegex, Value: "a+"}, []string{"aaa"}, true},
		"regex, a part":   {HeaderMatcher{Kind: HeaderRegex, Value: "a+"}, []string{"aaab"}, false},
		"regex, either":   {HeaderMatcher{Kind: HeaderRegex, Value: "a|b"}, []string{"ab"}, false},
		"joined":          {HeaderMatcher{Kind: HeaderExact, Value: "a,b"}, []string{"a", "b"}, true},
		"absent":          {HeaderMatcher{Kind: HeaderPresent, Invert: true}, nil, true},
		"absent, present": {HeaderMatcher{Kind: HeaderPresent, Invert: true}, []string{""}, false},
	} {
		c.header.Name = "x-test-ID"
		r := Route{Headers: []HeaderMatcher{c.header}, Clusters: singleCluster("a")}
		table := mustCompile(t, VirtualHost{Domains: []string{"*"}, Routes: []Route{r}})
		header := map[string][]string{}
		if c.values != nil {
			header["X-Test-Id"] = c.values
		}
		if _, ok := table.Lookup(&Request{Path: "/", Header: header}); ok != c.want {
			t.Errorf("%s: Lookup found a route: %v, want the opposite", name, ok)
		}
	}
}
