// Package keymaker is a fake certificate authority for tests and demos. It issues certificates that only its own root
// verifies, and writes them to files in the layout that an operator uses.
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
	// clockMargin is how long before its issue a certificate becomes valid, to allow for clocks that differ.
	clockMargin = time.Hour

	// authorityLifetime is how long an authority's own certificate is valid after its issue.
	authorityLifetime = 24 * time.Hour

	// writtenLifetime is how long certificates from Write are valid after their issue. It is shorter than
	// authorityLifetime, so that they expire before the authority.
	writtenLifetime = 23 * time.Hour
)

// Authority signs certificates. It is not safe for concurrent use.
type Authority struct {
	PEM []byte // the authority's own certificate in PEM

	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

// New returns an authority with the given common name and a new self-signed certificate that is valid for 24 hours.
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

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue returns a new certificate with its chain, and its private key, both in PEM. The parameters from and until bound
// its validity. names are its DNS names and IP addresses; there must be at least one, and the first is also the common
// name of the subject.
func (a *Authority) Issue(from, until time.Time, names ...string) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
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
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	cert = append(encodePEM("CERTIFICATE", der), a.PEM...)
	return cert, encodePEM("PRIVATE KEY", pkcs8), nil
}

// encodePEM returns a PEM block of the given type.
func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Write issues a certificate for names that is valid for 23 hours. It writes the certificate and its key to the files
// NAME.crt and NAME.key of a folder, and the authority's certificate to ca.ca.
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
