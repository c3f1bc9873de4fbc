package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxDomainBytes limits the length of a domain.
const maxDomainBytes = 255

// domainTable finds the virtual host for a host name. All keys of its maps are in lower case.
type domainTable struct {
	exact    map[string]*compiledHost
	suffixes affixTable    // domains such as "*.example.org"
	prefixes affixTable    // domains such as "example.*"
	wildcard *compiledHost // virtual host of the domain "*"; nil: there is none
}

// affixTable holds the virtual hosts of domains that begin, or end, with a wildcard.
type affixTable struct {
	lengths []int                    // lengths of the keys of hosts, descending, each once; set by sort
	hosts   map[string]*compiledHost // by the domain without its wildcard
}

func newDomainTable() domainTable {
	return domainTable{
		exact:    map[string]*compiledHost{},
		suffixes: affixTable{hosts: map[string]*compiledHost{}},
		prefixes: affixTable{hosts: map[string]*compiledHost{}},
	}
}

// add adds a virtual host under a domain. It returns an error if the domain is invalid or was added before.
func (t *domainTable) add(domain string, h *compiledHost) error {
	lower := strings.ToLower(domain)
	hosts, key := t.exact, lower
	switch {
	case lower == "" || len(lower) > maxDomainBytes:
		return fmt.Errorf("domain %q: 1 to %d bytes", domain, maxDomainBytes)
	case lower == "*":
		if t.wildcard != nil {
			return duplicateDomainError(domain)
		}
		t.wildcard = h
		return nil
	case strings.Count(lower, "*") > 1, strings.IndexByte(lower, '*') > 0 && lower[len(lower)-1] != '*':
		return fmt.Errorf("domain %q: * may be used once, and at one end only", domain)
	case lower[0] == '*':
		hosts, key = t.suffixes.hosts, lower[1:]
	case lower[len(lower)-1] == '*':
		hosts, key = t.prefixes.hosts, lower[:len(lower)-1]
	}
	if hosts[key] != nil {
		return duplicateDomainError(domain)
	}
	hosts[key] = h
	return nil
}

func duplicateDomainError(domain string) error {
	return fmt.Errorf("domain %q is used more than once", domain)
}

// sort prepares the table for find. It has to be called once, after all domains are added.
func (t *domainTable) sort() {
	t.suffixes.sort()
	t.prefixes.sort()
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

// find returns the virtual host for the host of a request, without regard to the host's port, or nil if there is none.
func (t *domainTable) find(name string) *compiledHost {
	if name == "" {
		return t.wildcard
	}
	if i := strings.LastIndexByte(name, ':'); i >= 0 && strings.IndexByte(name[i:], ']') < 0 {
		name = name[:i]
	}
	name = strings.ToLower(name) // allocates only if name has a capital letter
	if h := t.exact[name]; h != nil {
		return h
	}
	// A wildcard stands for at least one character.
	for _, length := range t.suffixes.lengths {
		if length < len(name) {
			if h := t.suffixes.hosts[name[len(name)-length:]]; h != nil {
				return h
			}
		}
	}
	for _, length := range t.prefixes.lengths {
		if length < len(name) {
			if h := t.prefixes.hosts[name[:length]]; h != nil {
				return h
			}
		}
	}
	return t.wildcard
}
