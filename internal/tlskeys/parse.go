package tlskeys

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The limits of a file's contents.
const (
	MaxChainCerts = 10   // of a chain
	MaxRootCerts  = 1000 // of a bundle
	MaxTicketKeys = 16
)

// ticketKeyBytes is the length of a key of session tickets, as crypto/tls takes it.
const ticketKeyBytes = 32

// parsePair parses a certificate chain with its key. Its error says which certificate is faulty.
func parsePair(name string, chain, key []byte, now time.Time) (*Pair, error) {
	list, err := parseCertificates(chain, MaxChainCerts)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(chain, key)
	if err != nil { // the key doesn't fit the first certificate, say
		return nil, errors.New(strings.TrimPrefix(err.Error(), "tls: "))
	}
	certificate.Leaf = list[0]
	p := &Pair{Name: name, Certificate: certificate}
	p.digest = sha256.Sum256(append(slices.Clone(chain), key...))
	p.NotAfter, err = checkChain(list, now)
	if err != nil {
		return nil, err
	}
	return p, nil
}

// checkChain checks that each certificate is valid now and signed by the next one. It returns the earliest end.
func checkChain(chain []*x509.Certificate, now time.Time) (notAfter time.Time, err error) {
	for i, c := range chain {
		if notAfter.IsZero() || c.NotAfter.Before(notAfter) {
			notAfter = c.NotAfter
		}
		name := fmt.Sprintf("certificate %d (%s)", i+1, c.Subject)
		switch {
		case now.After(c.NotAfter):
			return notAfter, fmt.Errorf("%s ended at %s", name, c.NotAfter.UTC().Format(time.RFC3339))
		case now.Before(c.NotBefore):
			return notAfter, fmt.Errorf("%s begins at %s", name, c.NotBefore.UTC().Format(time.RFC3339))
		case i+1 == len(chain):
			continue
		}
		if err := c.CheckSignatureFrom(chain[i+1]); err != nil {
			return notAfter, fmt.Errorf("%s is not signed by the next one: the chain is out of order", name)
		}
	}
	return notAfter, nil
}

// parseCertificates parses a PEM file that contains certificates alone, from 1 to limit.
func parseCertificates(data []byte, limit int) (list []*x509.Certificate, err error) {
	for rest := bytes.TrimSpace(data); len(rest) > 0; rest = bytes.TrimSpace(rest) {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return nil, fmt.Errorf("certificate %d is not whole", len(list)+1)
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("has a block of type %q", block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d: %w", len(list)+1, err)
		}
		list = append(list, c)
		if len(list) > limit {
			return nil, fmt.Errorf("over %d certificates", limit)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("has no certificate")
	}
	return list, nil
}

// parseRoots parses a bundle of root certificates.
func parseRoots(data []byte) (*x509.CertPool, error) {
	list, err := parseCertificates(data, MaxRootCerts)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, c := range list {
		pool.AddCert(c)
	}
	return pool, nil
}

// parseTicketKeys parses a file with a key of session tickets a line. Without a line feed at its end the file is
// taken for one that is being written.
func parseTicketKeys(data []byte) (keys [][ticketKeyBytes]byte, err error) {
	if len(data) == 0 || data[len(data)-1] != '\n' {
		return nil, errors.New("its last line has no end: it is not whole")
	}
	for line := range strings.Lines(string(data)) {
		key, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(key) != ticketKeyBytes {
			return nil, fmt.Errorf("line %d is not %d hexadecimal digits", len(keys)+1, hex.EncodedLen(ticketKeyBytes))
		}
		keys = append(keys, [ticketKeyBytes]byte(key))
		if len(keys) > MaxTicketKeys {
			return nil, fmt.Errorf("over %d keys", MaxTicketKeys)
		}
	}
	return keys, nil
}

// Pin returns the hash by which a certificate's public key is pinned (RFC 7469, section 2.4): SHA-256 of its
// SubjectPublicKeyInfo, in base 64.
func Pin(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return base64.StdEncoding.EncodeToString(sum[:])
}
