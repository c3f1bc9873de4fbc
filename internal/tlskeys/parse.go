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

// The limits of a file's content.
const (
	MaxChainCerts = 10   // certificates of a chain
	MaxRootCerts  = 1000 // certificates of a root bundle
	MaxTicketKeys = 16
)

// ticketKeyBytes is the length of a session ticket key, as crypto/tls requires it.
const ticketKeyBytes = 32

// parsePair parses a certificate chain and its private key, both in PEM, and checks that the chain is valid at the time now. Its
// error names the invalid certificate.
func parsePair(name string, chain, key []byte, now time.Time) (*Pair, error) {
	list, err := parseCertificates(chain, MaxChainCerts)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(chain, key)
	if err != nil { // for example, the key does not match the first certificate
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

// checkChain checks that each certificate is valid at the time now and signed by the next one in the chain. It returns the
// earliest time at which one of the certificates expires.
func checkChain(chain []*x509.Certificate, now time.Time) (notAfter time.Time, err error) {
	for i, c := range chain {
		if notAfter.IsZero() || c.NotAfter.Before(notAfter) {
			notAfter = c.NotAfter
		}
		name := fmt.Sprintf("certificate %d (%s)", i+1, c.Subject)
		switch {
		case now.After(c.NotAfter):
			return notAfter, fmt.Errorf("%s expired at %s", name, c.NotAfter.UTC().Format(time.RFC3339))
		case now.Before(c.NotBefore):
			return notAfter, fmt.Errorf("%s is not valid before %s", name, c.NotBefore.UTC().Format(time.RFC3339))
		case i+1 == len(chain):
			continue
		}
		if err := c.CheckSignatureFrom(chain[i+1]); err != nil {
			return notAfter, fmt.Errorf("%s is not signed by the next certificate in the file: the chain is out of order", name)
		}
	}
	return notAfter, nil
}

// parseCertificates parses a PEM file that must contain from 1 to limit certificates and nothing else.
func parseCertificates(data []byte, limit int) (list []*x509.Certificate, err error) {
	for rest := bytes.TrimSpace(data); len(rest) > 0; rest = bytes.TrimSpace(rest) {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return nil, fmt.Errorf("certificate %d is truncated or not in PEM", len(list)+1)
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("has a PEM block of type %q; only CERTIFICATE is allowed", block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d: %w", len(list)+1, err)
		}
		list = append(list, c)
		if len(list) > limit {
			return nil, fmt.Errorf("has over %d certificates", limit)
		}
	}
	if len(list) == 0 {
		return nil, errors.New("has no certificate")
	}
	return list, nil
}

// parseRoots parses a bundle of root certificates in PEM.
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

// parseTicketKeys parses a file that has a session ticket key on each line. A file that does not end with a line feed is
// rejected, since it may be partly written.
func parseTicketKeys(data []byte) (keys [][ticketKeyBytes]byte, err error) {
	if len(data) == 0 || data[len(data)-1] != '\n' {
		return nil, errors.New("last line does not end with a line feed: the file is empty or truncated")
	}
	for line := range strings.Lines(string(data)) {
		key, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(key) != ticketKeyBytes {
			return nil, fmt.Errorf("line %d is not %d hexadecimal digits", len(keys)+1, hex.EncodedLen(ticketKeyBytes))
		}
		keys = append(keys, [ticketKeyBytes]byte(key))
		if len(keys) > MaxTicketKeys {
			return nil, fmt.Errorf("has over %d keys", MaxTicketKeys)
		}
	}
	return keys, nil
}

// Pin returns the hash by which a certificate's public key is pinned (RFC 7469, section 2.4): the SHA-256 of the
// certificate's SubjectPublicKeyInfo, in base64.
func Pin(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return base64.StdEncoding.EncodeToString(sum[:])
}
