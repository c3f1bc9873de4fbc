package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"slices"
)

var errNotPinned = errors.New("tlskeys: no key of the server's chain is pinned")

// ServerAuth is what a client requires of servers, and the certificate that it shows them.
type ServerAuth struct {
	ServerName  string   // that their certificates are for; "": the address's host
	Roots       string   // bundle that verifies their certificates; "": the system's
	Certificate string   // pair that is shown to them; "": none
	Pins        []string // of keys, as Pin returns them; one of the verified chain must have one; nil: any key
}

// ClientConfig returns the configuration of connections to servers, which follows the set in force: a change applies
// to connections that are opened afterwards.
func (s *Store) ClientConfig(auth ServerAuth) *tls.Config {
	c := &clientConfig{store: s, auth: auth}
	return &tls.Config{
		ServerName:           auth.ServerName,
		GetClientCertificate: c.certificate,
		// Go's own verification takes its roots from the configuration, which can't follow the set. So verify does
		// the same with the roots in force.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// clientConfig is what the callbacks of a configuration need.
type clientConfig struct {
	store *Store
	auth  ServerAuth
}

// certificate returns the client certificate, an empty one if there is none: the server decides whether to go on.
func (c *clientConfig) certificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	if p := c.store.Set().Pair(c.auth.Certificate); p != nil {
		return &p.Certificate, nil
	}
	return &tls.Certificate{}, nil
}

// verify verifies the server's chain and its pins.
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

// isPinned reports whether any certificate of the chains has a pinned key.
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
