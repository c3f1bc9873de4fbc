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
	NotAfter    time.Time         // the earliest expiry of the chain's certificates
	digest      [sha256.Size]byte // hash of the content of both files
}

// Set has all entries of a directory of keys at one time. It is immutable once Update has returned it.
type Set struct {
	pairs map[string]*Pair          // by file name without suffix
	roots map[string]*x509.CertPool // by file name without suffix
	// byServerName maps the names and addresses in certificates, in lower case, to pairs. Wildcard names are keys as they are
	// written, such as "*.example.org".
	byServerName map[string]*Pair
	// defaultPair is the pair for clients that name no server or an unknown one; nil: there are no pairs.
	defaultPair *Pair
	ticketKeys  [][ticketKeyBytes]byte // the first key encrypts new tickets
}

// Empty returns a set without entries.
func Empty() *Set { return &Set{} }

// index fills byServerName and sets the default pair. Of two pairs for the same server name it uses the one that expires later,
// so that a new pair that is added beside the old one replaces it. defaultPair is the name of the default pair; if it is "" or
// there is no such pair, the first pair by name is the default.
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

// serverNames returns the DNS names and IP addresses that a certificate is valid for, in lower case.
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

// ForServerName returns the pair for a server name indication (RFC 6066, section 3). It looks for the name, then for a wildcard
// in place of its first label, and otherwise returns the default pair, which is nil if the set has no pairs.
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

// Pair returns the pair with this file name without suffix, or nil if there is none.
func (s *Set) Pair(name string) *Pair { return s.pairs[name] }

// Roots returns the bundle of root certificates with this file name without suffix, or nil if there is none.
func (s *Set) Roots(name string) *x509.CertPool { return s.roots[name] }

// equal reports whether two sets have the same entries.
func (s *Set) equal(other *Set) bool {
	return maps.EqualFunc(s.pairs, other.pairs, func(a, b *Pair) bool { return a.digest == b.digest }) &&
		maps.EqualFunc(s.roots, other.roots, func(a, b *x509.CertPool) bool { return a.Equal(b) }) &&
		slices.Equal(s.ticketKeys, other.ticketKeys)
}
