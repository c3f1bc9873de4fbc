package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// affixTable maps ends of names to hosts, tried from the longest length to the shortest.
type affixTable struct {
	lengths []int
	hosts   map[string]*compiledHost
}

func (a *affixTable) sort() {
	seen := map[int]bool{}
	for name := range a.hosts {
		if !seen[len(name)] {
			seen[len(name)] = true
			a.lengths = append(a.lengths, len(name))
		}
	}
	slices.SortFunc(a.lengths, func(x, y int) int { return cmp.Compare(y, x) })
}

func (t *Table) addDomain(domain string, h *compiledHost) error {
	lower := strings.ToLower(domain)
	put := func(m map[string]*compiledHost, key string) error {
		if m[key] != nil {
			return fmt.Errorf("domain %q is another one's too", domain)
		}
		m[key] = h
		return nil
	}
	switch {
	case lower == "" || len(lower) > 255:
		return fmt.Errorf("domain %q: 1 to 255 bytes", domain)
	case lower == "*":
		if t.anyDomain != nil {
			return fmt.Errorf("domain %q is another one's too", domain)
		}
		t.anyDomain = h
		return nil
	case strings.Count(lower, "*") > 1, strings.IndexByte(lower, '*') > 0 && lower[len(lower)-1] != '*':
		return fmt.Errorf("domain %q: * may stand at one end only", domain)
	case lower[0] == '*':
		return put(t.suffix.hosts, lower[1:])
	case lower[len(lower)-1] == '*':
		return put(t.prefix.hosts, lower[:len(lower)-1])
	}
	return put(t.exact, lower)
}

func (t *Table) findHost(name string) *compiledHost {
	if name == "" {
		return t.anyDomain
	}
	if i := strings.LastIndexByte(name, ':'); i >= 0 && strings.IndexByte(name[i:], ']') < 0 {
		name = name[:i]
	}
	name = strings.ToLower(name) // allocates only where there is a capital
	if h := t.exact[name]; h != nil {
		return h
	}
	for _, n := range t.suffix.lengths {
		if n < len(name) { // the star stands for at least one letter
			if h := t.suffix.hosts[name[len(name)-n:]]; h != nil {
				return h
			}
		}
	}
	for _, n := range t.prefix.lengths {
		if n < len(name) {
			if h := t.prefix.hosts[name[:n]]; h != nil {
				return h
			}
		}
	}
	return t.anyDomain
}
