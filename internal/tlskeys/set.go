// Package tlskeys holds the keys that TLS works with, on both sides: certificates with their
// keys, roots, and the keys of session tickets. A set of them is read from the files of one
// folder, each entry whole or not at all: where a rotation is half written, or a key does not
// fit its certificate, the entry stays as it was. Nothing here is cryptography of our own.
package tlskeys

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"time"
)

// The bounds of a folder.
const (
	MaxFiles      = 1000
	MaxFileBytes  = 1 << 20 // bytes
	MaxChainCerts = 10      // certificates of a chain
	MaxRootCerts  = 1000    // certificates of a bundle
	MaxTicketKeys = 16      // keys of session tickets
)

// The endings of file names: NAME.crt and NAME.key are a certificate with its chain and its
// key, NAME.ca a bundle of roots, all PEM; NAME.tickets has a key of session tickets a line,
// 64 hexadecimal digits, the first of which is used for new ones.
const (
	certSuffix, keySuffix, rootsSuffix, ticketsSuffix = ".crt", ".key", ".ca", ".tickets"
)

// File is a file's name, without its folder, and its content.
type File struct {
	Name string
	Data []byte
}

// Pair is a certificate with its key.
type Pair struct {
	Name        string
	Certificate tls.Certificate
	NotAfter    time.Time // the end of the first certificate of the chain that ends
	sum         [sha256.Size]byte
}

// Set is all entries of a folder at one time. It is not changed once it is made.
type Set struct {
	pairs   map[string]*Pair
	roots   map[string]*x509.CertPool
	byName  map[string]*Pair // by the lower-case name that a certificate is for; "*.x" as it stands
	first   *Pair            // for clients that name no server, or one that is not known
	tickets [][32]byte
}

// Empty is a set with nothing in it.
func Empty() *Set { return &Set{} }

// Update reads a folder's files. What is faulty is told, by file, and stays as it is in old, if
// it is there. first names the pair for clients that name no server; "": the first by name.
func Update(old *Set, files []File, first string, now time.Time) (*Set, []error) {
	var faults []error
	fault := func(name string, err error) { faults = append(faults, fmt.Errorf("%s: %w", name, err)) }
	by := map[string][]byte{}
	for _, f := range files {
		if len(f.Data) > MaxFileBytes {
			fault(f.Name, fmt.Errorf("%d bytes; %d at most", len(f.Data), MaxFileBytes))
			continue
		}
		by[f.Name] = f.Data
	}
	s := &Set{pairs: map[string]*Pair{}, roots: map[string]*x509.CertPool{}, byName: map[string]*Pair{}}
	for _, file := range slices.Sorted(maps.Keys(by)) {
		name, suffix := strings.TrimSuffix(file, path.Ext(file)), path.Ext(file)
		data := by[file]
		switch suffix {
		case keySuffix:
			if by[name+certSuffix] != nil {
				break // told of with its certificate
			}
			fault(file, errors.New("there is no certificate beside it"))
			if was := old.pairs[name]; was != nil {
				s.pairs[name] = was
			}
		case certSuffix:
			key, ok := by[name+keySuffix]
			var p *Pair
			err := errors.New("there is no key beside it")
			if ok {
				p, err = parsePair(name, data, key, now)
			}
			if err != nil {
				fault(file, err)
				p = old.pairs[name]
			}
			if p != nil {
				s.pairs[name] = p
			}
		case rootsSuffix:
			pool, err := parseRoots(data)
			if err != nil {
				fault(file, err)
				pool = old.roots[name]
			}
			if pool != nil {
				s.roots[name] = pool
			}
		case ticketsSuffix:
			keys, err := parseTickets(data)
			if err != nil {
				fault(file, err)
				keys = old.tickets
			}
			s.tickets = keys
		}
	}
	s.index(first)
	if first != "" && s.pairs[first] == nil {
		fault(first+certSuffix, errors.New("is to be the first one, and there is none"))
	}
	return s, faults
}

// index finds pairs by the names that they are for. Where two are for the same name the one
// that lasts longer goes first, so that a new one beside the old takes over.
func (s *Set) index(first string) {
	for _, name := range slices.Sorted(maps.Keys(s.pairs)) {
		p := s.pairs[name]
		if s.first == nil || name == first {
			s.first = p
		}
		leaf := p.Certificate.Leaf
		for _, n := range append(slices.Clone(leaf.DNSNames), addresses(leaf)...) {
			n = strings.ToLower(n)
			if was := s.byName[n]; was == nil || p.NotAfter.After(was.NotAfter) {
				s.byName[n] = p
			}
		}
	}
}

func addresses(c *x509.Certificate) (list []string) {
	for _, ip := range c.IPAddresses {
		list = append(list, ip.String())
	}
	return list
}

// ForServerName gives the certificate for a server's name (RFC 6066, 3): by its name, by a wildcard in
// place of its first label, else the first of the set; nil if that is empty.
func (s *Set) ForServerName(server string) *Pair {
	server = strings.ToLower(strings.TrimSuffix(server, "."))
	if p := s.byName[server]; p != nil {
		return p
	}
	if _, rest, ok := strings.Cut(server, "."); ok {
		if p := s.byName["*."+rest]; p != nil {
			return p
		}
	}
	return s.first
}

// Pair gives one by its file's name, nil if there is none.
func (s *Set) Pair(name string) *Pair { return s.pairs[name] }

// Roots gives a bundle by its file's name, nil if there is none.
func (s *Set) Roots(name string) *x509.CertPool { return s.roots[name] }

// Expiry is a pair with the time that it has left.
type Expiry struct {
	Name      string
	Remaining time.Duration
}

// Expiring lists the pairs that end within a time, the first to end first.
func (s *Set) Expiring(now time.Time, within time.Duration) (list []Expiry) {
	for name, p := range s.pairs {
		if left := p.NotAfter.Sub(now); left < within {
			list = append(list, Expiry{name, left})
		}
	}
	slices.SortFunc(list, func(a, b Expiry) int {
		return cmp.Or(cmp.Compare(a.Remaining, b.Remaining), strings.Compare(a.Name, b.Name))
	})
	return list
}

// equal tells whether two sets have the equal pairs and tickets, so that nothing needs saying.
func (s *Set) equal(o *Set) bool {
	return maps.EqualFunc(s.pairs, o.pairs, func(a, b *Pair) bool { return a.sum == b.sum }) &&
		maps.EqualFunc(s.roots, o.roots, func(a, b *x509.CertPool) bool { return a.Equal(b) }) && slices.Equal(s.tickets, o.tickets)
}

func parsePair(name string, cert, key []byte, now time.Time) (*Pair, error) {
	list, err := certificates(cert, MaxChainCerts)
	if err != nil {
		return nil, err
	}
	p := &Pair{Name: name}
	if p.Certificate, err = tls.X509KeyPair(cert, key); err != nil { // the key fits the first
		return nil, errors.New(strings.TrimPrefix(err.Error(), "tls: "))
	}
	p.Certificate.Leaf = list[0]
	for i, c := range list {
		if p.NotAfter.IsZero() || c.NotAfter.Before(p.NotAfter) {
			p.NotAfter = c.NotAfter
		}
		what := fmt.Sprintf("certificate %d (%s)", i+1, c.Subject)
		switch {
		case now.After(c.NotAfter):
			return nil, fmt.Errorf("%s ended at %s", what, c.NotAfter.UTC().Format(time.RFC3339))
		case now.Before(c.NotBefore):
			return nil, fmt.Errorf("%s begins at %s", what, c.NotBefore.UTC().Format(time.RFC3339))
		}
		if i+1 < len(list) {
			if err := c.CheckSignatureFrom(list[i+1]); err != nil {
				return nil, fmt.Errorf("%s is not signed by the next one: the chain is out of order", what)
			}
		}
	}
	p.sum = sha256.Sum256(append(slices.Clone(cert), key...))
	return p, nil
}

// certificates reads a PEM file that has certificates alone.
func certificates(data []byte, most int) (list []*x509.Certificate, err error) {
	for rest := bytes.TrimSpace(data); len(rest) > 0; rest = bytes.TrimSpace(rest) {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			return nil, fmt.Errorf("certificate %d is not whole", len(list)+1)
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("has a block of type %q", block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d: %w", len(list)+1, err)
		}
		if list = append(list, c); len(list) > most {
			return nil, fmt.Errorf("over %d certificates", most)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("has no certificate")
	}
	return list, nil
}

func parseRoots(data []byte) (*x509.CertPool, error) {
	list, err := certificates(data, MaxRootCerts)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, c := range list {
		pool.AddCert(c)
	}
	return pool, nil
}

func parseTickets(data []byte) (keys [][32]byte, err error) {
	if len(data) == 0 || data[len(data)-1] != '\n' {
		return nil, errors.New("its last line has no end: it is not whole")
	}
	for line := range strings.Lines(string(data)) {
		raw, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(raw) != 32 {
			return nil, fmt.Errorf("line %d is not 64 hexadecimal digits", len(keys)+1)
		}
		if keys = append(keys, [32]byte(raw)); len(keys) > MaxTicketKeys {
			return nil, fmt.Errorf("over %d keys", MaxTicketKeys)
		}
	}
	return keys, nil
}

// Pin gives the hash by which a certificate's key is pinned (RFC 7469, 2.4): SHA-256 of its
// SubjectPublicKeyInfo, in base 64.
func Pin(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return base64.StdEncoding.EncodeToString(sum[:])
}
