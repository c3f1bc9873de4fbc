package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"slices"
)

var errNotPinned = errors.New("tlskeys: no certificate of the server's verified chain has a pinned key")

// ServerAuth is what a client requires of servers, and the certificate that the client presents to them.
type ServerAuth struct {
	ServerName  string   // name that servers' certificates must be valid for; "": the host of the server's address
	Roots       string   // name of the root bundle that verifies servers' certificates; "": the roots of the system
	Certificate string   // name of the pair that is presented to servers; "": none
	Pins        []string // pins as Pin returns them, of which the verified chain must have one; none: any key is accepted
}

// ClientConfig returns a TLS configuration for connections to servers. It uses the set in force at the time of the handshake, so
// that a change of the set applies to connections that are opened afterwards.
func (s *Store) ClientConfig(auth ServerAuth) *tls.Config {
	c := &clientConfig{store: s, auth: auth}
	return &tls.Config{
		ServerName:           auth.ServerName,
		GetClientCertificate: c.certificate,
		// The verification by crypto/tls uses the roots of the configuration, which can't follow the set in force. It is
		// therefore off, and verify does the same with the roots in force.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// clientConfig holds what the callbacks of a client's TLS configuration need.
type clientConfig struct {
	store *Store
	auth  ServerAuth
}

// certificate returns the client certificate in force. It returns an empty certificate if there is none, with which the server
// decides whether the handshake continues.
func (c *clientConfig) certificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	if p := c.store.Set().Pair(c.auth.Certificate); p != nil {
		return &p.Certificate, nil
	}
	return &tls.Certificate{}, nil
}

// verify verifies the server's certificate chain with the roots in force, and that the chain has a pinned key if there are pins.
func (c *clientConfig) verify(state tls.ConnectionState) (err error) {
	options := x509.VerifyOptions{DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	if c.auth.Roots != "" {
		if options.Roots, err = c.store.Set().requireRoots(c.auth.Roots); err != nil {
			return err
		}
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	chains, err := state.PeerCertificates[0].Verify(options)
	if err != nil || len(c.auth.Pins) == 0 {
		return err
	}
	if !isPinned(chains, c.auth.Pins) {
		return errNotPinned
	}
	return nil
}

// isPinned reports whether a certificate in any of the chains has a pinned key.
func isPinned(chains [][]*x509.Certificate, pins []string) bool {
	for _, chain := range chains {
		for _, certificate := range chain {
			if slices.Contains(pins, Pin(certificate)) {
				return true
			}
		}
	}
	return false
}
