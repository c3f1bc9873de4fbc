package route

import "testing"

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
