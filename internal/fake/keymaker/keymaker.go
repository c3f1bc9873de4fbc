// Package keymaker is a fake certificate authority for tests and demos. It issues certificates that nobody else trusts,
// and writes them to files as an operator would.
package keymaker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// clockMargin is how long before its issue a certificate is valid, for clocks that differ.
	clockMargin = time.Hour

	// authorityLifetime is how long an authority's own certificate is valid.
	authorityLifetime = 24 * time.Hour

	// writtenLifetime is how long the certificates of Write are valid, less than the authority's.
	writtenLifetime = 23 * time.Hour
)

// Authority signs certificates. It is not safe for concurrent use.
type Authority struct {
	PEM []byte // its certificate

	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

// New returns an authority that is valid for a day.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	const serial = 1
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-clockMargin),
		NotAfter:              time.Now().Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key, PEM: encodePEM("CERTIFICATE", der), lastSerial: serial}
	a.cert, err = x509.ParseCertificate(der)
	return a, err
}

// Pool returns a pool with this authority alone.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue returns a certificate with its chain, and its key, both in PEM, that is valid from one time until another. The
// names are DNS names and IP addresses, at least one, of which the first is the subject's common name.
func (a *Authority) Issue(from, until time.Time, names ...string) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: names[0]},
		NotBefore:    from,
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	cert = append(encodePEM("CERTIFICATE", der), a.PEM...)
	return cert, encodePEM("PRIVATE KEY", pkcs8), nil
}

// encodePEM returns a block in PEM.
func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Write issues a certificate for names that is valid for 23 hours. It writes it and its key to a folder, as NAME.crt
// and NAME.key, and the authority's certificate as ca.ca.
func (a *Authority) Write(folder, name string, names ...string) error {
	now := time.Now()
	cert, key, err := a.Issue(now.Add(-clockMargin), now.Add(writtenLifetime), names...)
	if err != nil {
		return err
	}
	for file, data := range map[string][]byte{name + ".crt": cert, name + ".key": key, "ca.ca": a.PEM} {
		if err := os.WriteFile(filepath.Join(folder, file), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
