package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"
)

var errNoCertificate = errors.New("tlskeys: the folder has no certificate for the handshake")

// ClientAuth is what a listener requires of its clients.
type ClientAuth struct {
	Roots   string // name of the root bundle that verifies clients' certificates; "": none are requested
	Require bool   // a handshake without a client certificate fails
}

// ServerConfig returns the TLS configuration of a listener. It uses the set in force at the time of the handshake, and the
// defaults of crypto/tls for all settings other than keys and protocols. protocols are the ALPN protocols (RFC 7301) in order
// of preference. A handshake fails if the set has no certificate, or no root bundle with the name in auth.
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

// certificate returns the server's certificate for a handshake.
func (s *Store) certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if p := s.Set().ForServerName(hello.ServerName); p != nil {
		return &p.Certificate, nil
	}
	return nil, errNoCertificate
}

// serverConfig derives a listener's TLS configuration from each set in force.
type serverConfig struct {
	store *Store
	auth  ClientAuth
	base  *tls.Config // settings that do not depend on the set
	last  atomic.Pointer[setConfig]
}

// setConfig is the TLS configuration for a set.
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
	if len(set.ticketKeys) > 0 { // otherwise crypto/tls uses keys of its own, which it rotates daily
		config.SetSessionTicketKeys(set.ticketKeys)
	}
	c.last.Store(&setConfig{set, config})
	return config, nil
}

// requireRoots returns the bundle of root certificates with this name, or an error if the set has none.
func (s *Set) requireRoots(name string) (*x509.CertPool, error) {
	pool := s.Roots(name)
	if pool == nil {
		return nil, fmt.Errorf("tlskeys: there is no root bundle %s", name)
	}
	return pool, nil
}
