package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxDomainBytes limits the length of a domain.
const maxDomainBytes = 255

// domainTable finds the virtual host of a name; all keys are in lower case.
type domainTable struct {
	exact    map[string]*compiledHost
	suffixes affixTable    // of "*.example.org"
	prefixes affixTable    // of "example.*"
	wildcard *compiledHost // of "*"; nil: there is none
}

// affixTable holds virtual hosts by the literal part of a domain with a wildcard.
type affixTable struct {
	lengths []int // of the keys of hosts, descending
	hosts   map[string]*compiledHost
}

func newDomainTable() domainTable {
	return domainTable{
		exact:    map[string]*compiledHost{},
		suffixes: affixTable{hosts: map[string]*compiledHost{}},
		prefixes: affixTable{hosts: map[string]*compiledHost{}},
	}
}

// add adds a virtual host under a domain. The error says what is wrong with the domain.
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
		return fmt.Errorf("domain %q: * may stand at one end only", domain)
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
	return fmt.Errorf("domain %q is another one's too", domain)
}

// sort prepares the table for find, once all domains are added.
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

// find returns the virtual host of a request's host, whose port is left out of account; nil if there is none.
func (t *domainTable) find(name string) *compiledHost {
	if name == "" {
		return t.wildcard
	}
	if i := strings.LastIndexByte(name, ':'); i >= 0 && strings.IndexByte(name[i:], ']') < 0 {
		name = name[:i]
	}
	name = strings.ToLower(name) // allocates only for a capital letter
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
