package tlskeys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"slices"
	"strings"
	"time"
)

// Pair is a certificate chain with its private key.
type Pair struct {
	Name        string
	Certificate tls.Certificate
	NotAfter    time.Time // the earliest end of the chain's certificates
	digest      [sha256.Size]byte
}

// Set is all entries of a folder at one time. It is immutable once Update has returned it.
type Set struct {
	pairs map[string]*Pair          // by file name without suffix
	roots map[string]*x509.CertPool // by file name without suffix
	// byServerName has the names that certificates are for, in lower case; "*.x" as it stands.
	byServerName map[string]*Pair
	// defaultPair is for clients that name no server, or an unknown one.
	defaultPair *Pair
	ticketKeys  [][ticketKeyBytes]byte // the first one encrypts new tickets
}

// Empty returns a set without entries.
func Empty() *Set { return &Set{} }

// index fills the lookups by server name. Of two pairs for the same name it takes the one that ends later, so that a
// new one beside the old takes over. defaultPair names the default pair; "": the first one by name.
func (s *Set) index(defaultPair string) {
	s.byServerName = map[string]*Pair{}
	for _, name := range slices.Sorted(maps.Keys(s.pairs)) {
		p := s.pairs[name]
		if s.defaultPair == nil || name == defaultPair {
			s.defaultPair = p
		}
		for _, serverName := range serverNames(p.Certificate.Leaf) {
			if other := s.byServerName[serverName]; other == nil || p.NotAfter.After(other.NotAfter) {
				s.byServerName[serverName] = p
			}
		}
	}
}

// serverNames returns the DNS names and IP addresses that a certificate is for, in lower case.
func serverNames(c *x509.Certificate) []string {
	names := make([]string, 0, len(c.DNSNames)+len(c.IPAddresses))
	for _, name := range c.DNSNames {
		names = append(names, strings.ToLower(name))
	}
	for _, ip := range c.IPAddresses {
		names = append(names, strings.ToLower(ip.String()))
	}
	return names
}

// ForServerName returns the pair for a server name indication (RFC 6066, section 3): by the name, by a wildcard in
// place of its first label, else the default pair; nil if the set is empty.
func (s *Set) ForServerName(name string) *Pair {
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	if p := s.byServerName[name]; p != nil {
		return p
	}
	if _, domain, ok := strings.Cut(name, "."); ok {
		if p := s.byServerName["*."+domain]; p != nil {
			return p
		}
	}
	return s.defaultPair
}

// Pair returns the pair with a file name without suffix, nil if there is none.
func (s *Set) Pair(name string) *Pair { return s.pairs[name] }

// Roots returns the bundle of root certificates with a file name without suffix, nil if there is none.
func (s *Set) Roots(name string) *x509.CertPool { return s.roots[name] }

// equal reports whether two sets have the same entries.
func (s *Set) equal(other *Set) bool {
	return maps.EqualFunc(s.pairs, other.pairs, func(a, b *Pair) bool { return a.digest == b.digest }) &&
		maps.EqualFunc(s.roots, other.roots, func(a, b *x509.CertPool) bool { return a.Equal(b) }) &&
		slices.Equal(s.ticketKeys, other.ticketKeys)
}
