// Package forwarded decides what of a request's way to this program is believed and told on: the
// client's address, scheme and host by X-Forwarded-* (de facto) and Forwarded (RFC 7239).
// It is pure. Who may say something about the way before it is named by networks; what
// others say of it is dropped, so that no client can pass for another.
package forwarded

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"go4.org/netipx"
)

// MaxHops bounds the addresses that a request may bring along, by its fields' commas.
const MaxHops = 32

// Rules are what an operator says of the way to the program. The zero value trusts nobody.
type Rules struct {
	// TrustedProxies are the networks of proxies in front; nil: none.
	TrustedProxies *netipx.IPSet
	// WriteForwarded has Forwarded be written too.
	WriteForwarded bool
}

// ParseTrustedProxies reads networks ("10.0.0.0/8"), addresses and ranges ("10.0.0.1-10.0.0.9").
// An error names the first that is none.
func ParseTrustedProxies(list []string) (*netipx.IPSet, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var b netipx.IPSetBuilder
	for _, text := range list {
		if p, err := netip.ParsePrefix(text); err == nil {
			if p != p.Masked() {
				return nil, fmt.Errorf("%q: the network is %s", text, p.Masked())
			}
			b.AddPrefix(p)
		} else if a, err := netip.ParseAddr(text); err == nil {
			b.Add(a)
		} else if r, err := netipx.ParseIPRange(text); err == nil {
			b.AddRange(r)
		} else {
			return nil, fmt.Errorf("%q is no network, address or range", text)
		}
	}
	return b.IPSet()
}

// Trusts tells whether an address is one of a proxy in front.
func (r *Rules) Trusts(a netip.Addr) bool {
	return r.TrustedProxies != nil && a.IsValid() && r.TrustedProxies.Contains(a.Unmap())
}

var errTooManyHops = errors.New("X-Forwarded-For names too many hops")

// untrustedFields are the fields in which proxies tell of the way.
var untrustedFields = []string{
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip",
	"X-Client-Ip", "True-Client-Ip", "X-Envoy-External-Address", "X-Envoy-Original-Path", "X-Original-Url", "X-Rewrite-Url",
}

// Apply writes a request's fields anew for whoever is next. r.RemoteAddr is the peer.
func (r *Rules) Apply(q *http.Request) error {
	peer := ParseAddr(q.RemoteAddr)
	scheme := "http"
	if q.TLS != nil {
		scheme = "https"
	}
	h := q.Header
	trusted := r.Trusts(peer)
	if !trusted {
		for _, name := range untrustedFields {
			delete(h, name)
		}
	}
	way := strings.Join(h["X-Forwarded-For"], ", ")
	if strings.Count(way, ",") >= MaxHops {
		return errTooManyHops
	}
	if !peer.IsValid() { // a test's, or a socket without addresses
		return nil
	}
	if way != "" {
		way += ", "
	}
	h["X-Forwarded-For"] = []string{way + peer.String()}
	if len(h["X-Forwarded-Proto"]) != 1 {
		h["X-Forwarded-Proto"] = []string{scheme}
	}
	if len(h["X-Forwarded-Host"]) != 1 {
		h["X-Forwarded-Host"] = []string{q.Host}
	}
	if r.WriteForwarded {
		element := "for=" + formatNode(peer) + ";host=" + quote(q.Host) + ";proto=" + scheme
		if before := strings.Join(h["Forwarded"], ", "); before != "" {
			element = before + ", " + element
		}
		h["Forwarded"] = []string{element}
	}
	return nil
}

// Client gives the address of the client itself: the last on its way that is no trusted
// proxy's (counted from here), the peer's where the way says nothing.
func (r *Rules) Client(q *http.Request) netip.Addr {
	at := ParseAddr(q.RemoteAddr)
	way := strings.Split(strings.Join(q.Header["X-Forwarded-For"], ","), ",")
	for i := len(way) - 1; i >= 0 && r.Trusts(at); i-- {
		a, err := netip.ParseAddr(strings.TrimSpace(way[i]))
		if err != nil {
			break // what a proxy could not name can't be followed further
		}
		at = a.Unmap()
	}
	return at
}

// ParseAddr reads the address of host:port; the zero ParseAddr where there is none.
func ParseAddr(hostport string) netip.Addr {
	a, err := netip.ParseAddrPort(hostport)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap().WithZone("")
}

// formatNode writes an address as RFC 7239, section 6 has it.
func formatNode(a netip.Addr) string {
	if a.Is6() {
		return `"[` + a.String() + `]"`
	}
	return a.String()
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
