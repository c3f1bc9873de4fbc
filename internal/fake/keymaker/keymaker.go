// Package keymaker makes the keys of a stand-in authority, for tests and demos: certificates
// that nobody else trusts, in files as an operator would have them.
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

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	PEM  []byte // its certificate
	next int64
}

// New makes an authority that lasts a day.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key, PEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), next: 1}
	a.cert, err = x509.ParseCertificate(der)
	return a, err
}

// Pool has the authority alone.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// Issue makes a certificate with its chain, and its key, for names and addresses, the first
// of which is its subject.
func (a *Authority) Issue(from, until time.Time, names ...string) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	a.next++
	t := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: names[0]}, NotBefore: from, NotAfter: until,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	cert = append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), a.PEM...)
	return cert, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), nil
}

// Write puts a certificate for names, good for a day, into a folder, as NAME.crt and
// NAME.key, and the authority beside it as ca.ca.
func (a *Authority) Write(folder, name string, names ...string) error {
	cert, key, err := a.Issue(time.Now().Add(-time.Hour), time.Now().Add(23*time.Hour), names...)
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
