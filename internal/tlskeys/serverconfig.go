package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"
)

var errNoCertificate = errors.New("tlskeys: there is no certificate to show")

// ClientAuth is what a listener requires of its clients.
type ClientAuth struct {
	Roots   string // bundle that verifies their certificates; "": none are requested
	Require bool   // handshakes without a certificate fail
}

// ServerConfig returns the configuration of a listener, which follows the set in force. All but the keys is Go's
// default. protocols are those of ALPN (RFC 7301), in order of preference. A handshake fails if the set has no
// certificate, or not the client's roots.
func (s *Store) ServerConfig(auth ClientAuth, protocols ...string) *tls.Config {
	c := &serverConfig{store: s, auth: auth, base: &tls.Config{NextProtos: protocols, GetCertificate: s.certificate}}
	if auth.Roots != "" {
		c.base.ClientAuth = tls.VerifyClientCertIfGiven
		if auth.Require {
			c.base.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	config := c.base.Clone()
	config.GetConfigForClient = c.configForClient
	return config
}

// certificate returns the certificate for a handshake as the server.
func (s *Store) certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if p := s.Set().ForServerName(hello.ServerName); p != nil {
		return &p.Certificate, nil
	}
	return nil, errNoCertificate
}

// serverConfig derives a listener's configuration for each set in force.
type serverConfig struct {
	store *Store
	auth  ClientAuth
	base  *tls.Config // without what depends on the set
	last  atomic.Pointer[setConfig]
}

// setConfig is a configuration with what depends on a set.
type setConfig struct {
	set    *Set
	config *tls.Config
}

// configForClient returns the configuration for a handshake, which is shared by all handshakes with the same set.
func (c *serverConfig) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	set := c.store.Set()
	if last := c.last.Load(); last != nil && last.set == set {
		return last.config, nil
	}
	config := c.base.Clone()
	if c.auth.Roots != "" {
		var err error
		if config.ClientCAs, err = set.requireRoots(c.auth.Roots); err != nil {
			return nil, err
		}
	}
	if len(set.ticketKeys) > 0 { // else Go's own, which it changes every day
		config.SetSessionTicketKeys(set.ticketKeys)
	}
	c.last.Store(&setConfig{set, config})
	return config, nil
}

// requireRoots returns a bundle of root certificates, or an error if there is none of that name.
func (s *Set) requireRoots(name string) (*x509.CertPool, error) {
	pool := s.Roots(name)
	if pool == nil {
		return nil, fmt.Errorf("tlskeys: there are no roots %s", name)
	}
	return pool, nil
}
