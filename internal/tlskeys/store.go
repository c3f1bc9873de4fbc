package tlskeys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// warnings are how long before a pair's end it is told of, each once.
var warnings = []time.Duration{30 * 24 * time.Hour, 7 * 24 * time.Hour, 24 * time.Hour, 0}

// Store follows a folder. Handshakes take what is in force at their time; connections that
// stand are not touched by a change. Create it with Open.
type Store struct {
	folder, first string
	log           *slog.Logger
	set           atomic.Pointer[Set]
	changed       atomic.Uint64 // how often another set came in force
	said          map[string]bool
}

// Open reads a folder. Any fault is an error: at the start there is nothing older to keep.
func Open(folder, first string, log *slog.Logger) (*Store, error) {
	s := &Store{folder: folder, first: first, log: log, said: map[string]bool{}}
	s.set.Store(Empty())
	if faults := s.Reload(time.Now()); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

// Check gives what is wrong with a folder, and warnings of what ends within 30 days.
func Check(folder, first string, now time.Time) (warn []string, set *Set, err error) {
	files, err := read(folder)
	if err != nil {
		return nil, nil, err
	}
	set, faults := Update(Empty(), files, first, now)
	for _, e := range set.Expiring(now, warnings[0]) {
		warn = append(warn, fmt.Sprintf("%s: ends in %s", filepath.Join(folder, e.Name+certSuffix), days(e.Remaining)))
	}
	for i, f := range faults {
		faults[i] = fmt.Errorf("%s/%w", folder, f)
	}
	return warn, set, errors.Join(faults...)
}

func days(d time.Duration) string {
	if d < 48*time.Hour {
		return d.Round(time.Minute).String()
	}
	return fmt.Sprintf("%d days", int(d/(24*time.Hour)))
}

// Set is what is in force.
func (s *Store) Set() *Set { return s.set.Load() }

// Changes counts the sets that came in force.
func (s *Store) Changes() uint64 { return s.changed.Load() }

// Reload reads the folder once and puts in force what is whole. Faults are given, and logged
// when they are new.
func (s *Store) Reload(now time.Time) []error {
	files, err := read(s.folder)
	if err != nil {
		s.tell(slog.LevelError, "the folder of the keys can't be read; the last ones stay", err.Error())
		return []error{err}
	}
	old := s.set.Load()
	next, faults := Update(old, files, s.first, now)
	for i, f := range faults {
		faults[i] = fmt.Errorf("%s/%w", s.folder, f)
		s.tell(slog.LevelError, "an entry of the keys is not taken; what was there stays", faults[i].Error())
	}
	if !next.equal(old) {
		s.set.Store(next)
		s.changed.Add(1)
		clear(s.said)
		s.log.Info("TLS keys loaded", "folder", s.folder, "certificates", len(next.pairs), "roots", len(next.roots))
	}
	for _, e := range s.Set().Expiring(now, warnings[0]) {
		step := warnings[0]
		for _, w := range warnings {
			if e.Remaining < w {
				step = w
			}
		}
		s.tell(slog.LevelWarn, "a certificate is about to end", fmt.Sprintf("%s%s, within %s", e.Name, certSuffix, days(step)))
	}
	return faults
}

// tell logs each text once for as long as the keys stay.
func (s *Store) tell(level slog.Level, what, text string) {
	if len(s.said) < MaxFiles && !s.said[text] {
		s.said[text] = true
		s.log.Log(context.Background(), level, what, "what", text)
	}
}

// Run follows the folder by looking every so often, until ctx ends.
func (s *Store) Run(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.Reload(now)
		}
	}
}

// read gives the folder's files that have to do with keys.
func read(folder string) ([]File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	if len(entries) > 4*MaxFiles {
		return nil, fmt.Errorf("%s: over %d files", folder, 4*MaxFiles)
	}
	var files []File
	for _, e := range entries {
		switch ext := filepath.Ext(e.Name()); {
		case strings.HasPrefix(e.Name(), "."), ext != certSuffix && ext != keySuffix && ext != rootsSuffix && ext != ticketsSuffix:
			continue
		case len(files) == MaxFiles:
			return nil, fmt.Errorf("%s: over %d files of keys", folder, MaxFiles)
		}
		name := filepath.Join(folder, e.Name())
		if info, err := os.Stat(name); err != nil || !info.Mode().IsRegular() { // a pipe would be waited for
			return nil, fmt.Errorf("%s: is no file that can be read", name)
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		files = append(files, File{e.Name(), data})
	}
	return files, nil
}

// ClientAuth says what a listener wants of its clients.
type ClientAuth struct {
	Roots   string // bundle that their certificates have to lead to; "": none are asked for
	Require bool   // a client without one is turned away
}

var errNoCertificate = errors.New("tlskeys: there is no certificate to show")

// ServerConfig makes the configuration of a listener. It is Go's default but for the keys; protos
// are those of ALPN, in order of preference.
func (s *Store) ServerConfig(c ClientAuth, protos ...string) *tls.Config {
	base := &tls.Config{
		NextProtos: protos,
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			if p := s.Set().ForServerName(hello.ServerName); p != nil {
				return &p.Certificate, nil
			}
			return nil, errNoCertificate
		},
	}
	if c.Roots != "" {
		base.ClientAuth = tls.VerifyClientCertIfGiven
		if c.Require {
			base.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	type made struct {
		set *Set
		tls *tls.Config
	}
	var last atomic.Pointer[made]
	out := base.Clone()
	out.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		set := s.Set()
		if m := last.Load(); m != nil && m.set == set {
			return m.tls, nil
		}
		now := base.Clone()
		if c.Roots != "" {
			if now.ClientCAs = set.Roots(c.Roots); now.ClientCAs == nil {
				return nil, fmt.Errorf("tlskeys: there are no roots %s", c.Roots)
			}
		}
		if len(set.tickets) > 0 { // else Go's own, which it changes every day
			now.SetSessionTicketKeys(set.tickets)
		}
		last.Store(&made{set, now})
		return now, nil
	}
	return out
}

// ServerAuth says what is wanted of the servers of a cluster.
type ServerAuth struct {
	ServerName  string   // that their certificates are for; "": the address's host
	Roots       string   // bundle; "": the system's
	Certificate string   // pair that is shown to them; "": none
	Pins        []string // of keys, as Pin gives them: one of the chain has to have one; nil: any
}

// ClientConfig makes the configuration of connections to servers. Keys that come later serve
// connections that are opened then.
func (s *Store) ClientConfig(c ServerAuth) *tls.Config {
	return &tls.Config{
		ServerName: c.ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if p := s.Set().Pair(c.Certificate); p != nil {
				return &p.Certificate, nil
			}
			return &tls.Certificate{}, nil // the server says whether it does without
		},
		// Go's own check takes its roots before the handshake, once; so it is done here, by
		// the same function, with those in force.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			o := x509.VerifyOptions{DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
			if c.Roots != "" {
				if o.Roots = s.Set().Roots(c.Roots); o.Roots == nil {
					return fmt.Errorf("tlskeys: there are no roots %s", c.Roots)
				}
			}
			for _, cert := range state.PeerCertificates[1:] {
				o.Intermediates.AddCert(cert)
			}
			chains, err := state.PeerCertificates[0].Verify(o)
			if err != nil || len(c.Pins) == 0 {
				return err
			}
			for _, chain := range chains {
				for _, cert := range chain {
					for _, pin := range c.Pins {
						if pin == Pin(cert) {
							return nil
						}
					}
				}
			}
			return errors.New("tlskeys: no key of the server's chain is pinned")
		},
	}
}
