package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/forwarded"
)

// MaxListeners limits the listeners of a program.
const MaxListeners = 16

// Listener is the settings of a listener for HTTP clients. Listeners are compared by ==.
type Listener struct {
	Name              string        // "" for the one of [listen]
	Address           string        // host:port
	Connections       int           // limit of client connections that have sent something, 4 or more
	NewConnections    int           // limit of those that have sent nothing yet
	HTTP2             int           // limit of streams of an HTTP/2 connection; 0: HTTP/1.1 alone
	MaxBody           int64         // bytes of a request's body; 0: any length
	Trust             string        // networks of trusted proxies, separated by spaces
	Forwarded         bool          // the Forwarded field is written too (RFC 7239)
	Proxy             string        // the PROXY protocol of trusted proxies: "" none, "optional", "required"
	Drain             time.Duration // how long streams may last after the listener is closed
	TLS               bool
	ClientRoots       string        // that client certificates are verified by; "": none are requested
	RequireClientCert bool          // a client without a certificate is rejected
	MaxHead           int           // bytes of a request head
	Stall             time.Duration // how long a client may not read a stream, or not continue an upload
	Resets            int           // RST_STREAM frames a second of an HTTP/2 connection; 0: no limit
	Controls          int           // its frames a second that carry no request; 0: no limit
	Pieces            int           // CONTINUATION frames of a head; 0: no limit
}

// listenerFile is a listener as written.
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

// readListeners reads [listen], which most files have, and [[listener]].
func (p *Program) readListeners(f *programFile, report reporter) {
	if f.Listen.Address != "" || len(f.Listener) == 0 {
		p.readListener("listen", -1, &f.Listen, f.Keys.Folder, report)
	}
	if n := len(f.Listener); n > MaxListeners {
		report("listener", -1, "", "%d listeners; %d at most", n, MaxListeners)
		return
	}
	seen, addresses := map[string]bool{"": true}, map[string]bool{}
	for i := range f.Listener {
		l := &f.Listener[i]
		if seen[l.Name] || len(l.Name) > cluster.MaxNameBytes {
			report("listener", i, "name", "wants a name of its own, of %d bytes at most", cluster.MaxNameBytes)
		}
		seen[l.Name] = true
		p.readListener("listener", i, l, f.Keys.Folder, report)
	}
	for i, l := range p.Listeners {
		if _, port, _ := net.SplitHostPort(l.Address); port != "0" && addresses[l.Address] {
			report("listener", i, "address", "%s is another one's too", l.Address)
		}
		addresses[l.Address] = true
	}
	p.Listener = p.Listeners[0]
}

// readListener reads the listener with an index among the tables of a name; below 0: the only one. keys is the folder
// of keys.
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

func (l *Listener) checkAddress(table string, i int, report reporter) {
	if _, port, err := net.SplitHostPort(l.Address); err != nil {
		report(table, i, "address", "%q is no host:port", l.Address)
	} else if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		report(table, i, "address", "%q: the port is not from 0 to 65535", l.Address)
	}
}

// checkLimits checks the numbers; l.MaxHead is in KiB still.
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

func (l *Listener) checkTrust(f *listenerFile, table string, i int, report reporter) {
	if _, err := forwarded.ParseTrustedProxies(f.Trust); err != nil {
		report(table, i, "trust", "%v", err)
	}
	if l.Proxy != "" && l.Proxy != "optional" && l.Proxy != "required" {
		report(table, i, "proxy_protocol", "%q is none of optional, required", l.Proxy)
	}
	if l.Proxy != "" && len(f.Trust) == 0 {
		report(table, i, "proxy_protocol", "trust has to name who may speak it")
	}
}

// checkTLS checks the certificates; keys is the folder of keys.
func (l *Listener) checkTLS(keys, table string, i int, report reporter) {
	switch {
	case l.TLS && keys == "":
		report(table, i, "tls", "wants [keys] folder")
	case !l.TLS && (l.ClientRoots != "" || l.RequireClientCert):
		report(table, i, "client_roots", "wants tls = true")
	case l.RequireClientCert && l.ClientRoots == "":
		report(table, i, "client_required", "wants client_roots")
	}
}
