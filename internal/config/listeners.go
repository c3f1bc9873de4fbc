package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/forwarded"
)

// MaxListeners is the maximum number of [[listener]] tables in the program's file, apart from [listen].
const MaxListeners = 16

// Listener holds the settings of a listener for HTTP clients. Listeners are compared by ==, so all fields must be comparable.
type Listener struct {
	Name              string        // "" for the listener of [listen]
	Address           string        // host:port
	Connections       int           // limit of client connections that have sent something, at least 4
	NewConnections    int           // limit of client connections that have sent nothing yet
	HTTP2             int           // limit of concurrent streams of an HTTP/2 connection; 0: HTTP/1.1 only
	MaxBody           int64         // limit of a request body, in bytes; 0: no limit
	Trust             string        // networks of trusted proxies, separated by spaces
	Forwarded         bool          // the Forwarded field (RFC 7239) is written beside X-Forwarded-*
	Proxy             string        // PROXY protocol of trusted proxies: "" for none, "optional" or "required"
	Drain             time.Duration // how long streams may last after the listener is closed; 0: the longest deadline
	TLS               bool
	ClientRoots       string        // name of the root bundle that verifies client certificates; "": none are requested
	RequireClientCert bool          // a client without a certificate is rejected
	MaxHead           int           // limit of a request head, in bytes
	Stall             time.Duration // how long a client may stop reading a stream or sending an upload
	Resets            int           // limit of RST_STREAM frames per second of an HTTP/2 connection; 0: no limit
	Controls          int           // limit of control frames (h2flood.Limits) per second of an HTTP/2 connection; 0: no limit
	Pieces            int           // limit of CONTINUATION frames of an HTTP/2 request head; 0: no limit
}

// listenerFile is the table [listen] or a table [[listener]] as decoded.
type listenerFile struct {
	Name           string   `toml:"name"`
	Address        string   `toml:"address"`
	Connections    *int     `toml:"connections"`
	Silent         *int     `toml:"silent"`
	HTTP2          *int     `toml:"http2_streams"`
	MaxBodyMB      int64    `toml:"max_body_mb"`
	Trust          []string `toml:"trust"`
	Forwarded      bool     `toml:"forwarded"`
	Proxy          string   `toml:"proxy_protocol"`
	Drain          Duration `toml:"drain"`
	TLS            bool     `toml:"tls"`
	ClientRoots    string   `toml:"client_roots"`
	ClientRequired bool     `toml:"client_required"`
	MaxHeadKB      *int     `toml:"max_head_kb"`
	Stall          Duration `toml:"client_stall"`
	Resets         *int     `toml:"http2_resets_per_s"`
	Controls       *int     `toml:"http2_controls_per_s"`
	Pieces         *int     `toml:"http2_head_pieces"`
}

// readListeners reads the tables [listen] and [[listener]]. [listen] may be omitted if there is a [[listener]].
func (p *Program) readListeners(f *programFile, report reporter) {
	if f.Listen.Address != "" || len(f.Listener) == 0 {
		p.readListener("listen", -1, &f.Listen, f.Keys.Folder, report)
	}
	if n := len(f.Listener); n > MaxListeners {
		report("listener", -1, "", "%d listeners are defined; the limit is %d", n, MaxListeners)
		return
	}
	seen, addresses := map[string]bool{"": true}, map[string]bool{}
	for i := range f.Listener {
		l := &f.Listener[i]
		if seen[l.Name] || len(l.Name) > cluster.MaxNameBytes {
			report("listener", i, "name", "is empty, duplicate or longer than %d bytes", cluster.MaxNameBytes)
		}
		seen[l.Name] = true
		p.readListener("listener", i, l, f.Keys.Folder, report)
	}
	for i, l := range p.Listeners {
		if _, port, _ := net.SplitHostPort(l.Address); port != "0" && addresses[l.Address] {
			report("listener", i, "address", "%s is the address of another listener", l.Address)
		}
		addresses[l.Address] = true
	}
	p.Listener = p.Listeners[0]
}

// readListener reads a listener, checks it and appends it to p.Listeners. i is the index of a [[listener]] table, or -1 for
// [listen]. keys is the directory of the TLS keys; "": TLS is not available.
func (p *Program) readListener(table string, i int, f *listenerFile, keys string, report reporter) {
	l := Listener{
		Name: f.Name, Address: f.Address, Connections: 1024, NewConnections: 256, HTTP2: 128,
		MaxBody: f.MaxBodyMB << 20, Trust: strings.Join(f.Trust, " "), Forwarded: f.Forwarded, Proxy: f.Proxy,
		MaxHead: 16, Stall: 30 * time.Second, Resets: 200, Controls: 500, Pieces: 16,
		Drain: f.Drain.Duration, TLS: f.TLS, ClientRoots: f.ClientRoots, RequireClientCert: f.ClientRequired,
	}
	for to, given := range map[*int]*int{&l.Connections: f.Connections, &l.NewConnections: f.Silent, &l.HTTP2: f.HTTP2,
		&l.MaxHead: f.MaxHeadKB, &l.Resets: f.Resets, &l.Controls: f.Controls, &l.Pieces: f.Pieces} {
		if given != nil {
			*to = *given
		}
	}
	if f.Stall.Duration != 0 {
		l.Stall = f.Stall.Duration
	}
	l.checkAddress(table, i, report)
	l.checkLimits(f, table, i, report)
	l.checkTrust(f, table, i, report)
	l.checkTLS(keys, table, i, report)
	l.MaxHead <<= 10
	p.Listeners = append(p.Listeners, l)
}

// checkAddress checks that the address is host:port with a numeric port. Port 0 selects a free port.
func (l *Listener) checkAddress(table string, i int, report reporter) {
	if _, port, err := net.SplitHostPort(l.Address); err != nil {
		report(table, i, "address", "%q is not host:port", l.Address)
	} else if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		report(table, i, "address", "the port of %q is not from 0 to 65535", l.Address)
	}
}

// checkLimits checks numbers and durations. l.MaxHead is still in KiB when checkLimits is called.
func (l *Listener) checkLimits(f *listenerFile, table string, i int, report reporter) {
	if n := l.Connections; n < 4 || n > 1e6 {
		report(table, i, "connections", "%d is not from 4 to 1000000", n)
	}
	if n := l.NewConnections; n < 1 || n > 1e6 {
		report(table, i, "silent", "%d is not from 1 to 1000000", n)
	}
	if n := l.HTTP2; n < 0 || n > 1000 {
		report(table, i, "http2_streams", "%d is not from 0 to 1000", n)
	}
	if n := f.MaxBodyMB; n < 0 || n > 1<<20 {
		report(table, i, "max_body_mb", "%d is not from 0 to 1048576", n)
	}
	if n := l.MaxHead; n < 1 || n > 1024 {
		report(table, i, "max_head_kb", "%d is not from 1 to 1024", n)
	}
	if d := l.Stall; d < 100*time.Millisecond || d > time.Hour {
		report(table, i, "client_stall", "%v is not from 100ms to 1h", d)
	}
	for key, n := range map[string]int{
		"http2_resets_per_s": l.Resets, "http2_controls_per_s": l.Controls, "http2_head_pieces": l.Pieces,
	} {
		if n < 0 || n > 1e6 {
			report(table, i, key, "%d is not from 0 to 1000000", n)
		}
	}
	if d := l.Drain; d < 0 || d > 24*time.Hour {
		report(table, i, "drain", "%v is not from 0 to 24h", d)
	}
}

// checkTrust checks the networks of trusted proxies and the PROXY protocol, which only trusted proxies may send.
func (l *Listener) checkTrust(f *listenerFile, table string, i int, report reporter) {
	if _, err := forwarded.ParseTrustedProxies(f.Trust); err != nil {
		report(table, i, "trust", "%v", err)
	}
	if l.Proxy != "" && l.Proxy != "optional" && l.Proxy != "required" {
		report(table, i, "proxy_protocol", "%q is not one of optional, required", l.Proxy)
	}
	if l.Proxy != "" && len(f.Trust) == 0 {
		report(table, i, "proxy_protocol", "requires trust, which has the networks that may send the PROXY protocol")
	}
}

// checkTLS checks that the settings for TLS and client certificates fit together. keys is the directory of the TLS keys; "":
// TLS is not available.
func (l *Listener) checkTLS(keys, table string, i int, report reporter) {
	switch {
	case l.TLS && keys == "":
		report(table, i, "tls", "requires the folder in [keys]")
	case !l.TLS && (l.ClientRoots != "" || l.RequireClientCert):
		report(table, i, "client_roots", "requires tls = true")
	case l.RequireClientCert && l.ClientRoots == "":
		report(table, i, "client_required", "requires client_roots")
	}
}
