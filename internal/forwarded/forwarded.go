// Package forwarded decides which header fields about a request's way to this program are trusted, and extends them for
// whoever is next: the client's address, scheme and host by X-Forwarded-* (de facto) and Forwarded (RFC 7239). It is
// pure. Only proxies in trusted networks may say something about the way before them; what others say is dropped, so
// that no client can pass for another.
//
// forwarded.go rewrites the fields, trust.go has the trusted proxies and the client's address by them.
package forwarded

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
)

// MaxHops limits the addresses in a request's X-Forwarded-For.
const MaxHops = 32

var errTooManyHops = errors.New("X-Forwarded-For names too many hops")

// untrustedFields are the fields in which proxies describe the way, dropped unless the peer is a trusted proxy.
var untrustedFields = []string{
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip",
	"X-Client-Ip", "True-Client-Ip", "X-Envoy-External-Address", "X-Envoy-Original-Path", "X-Original-Url",
	"X-Rewrite-Url",
}

// Apply rewrites a request's fields about its way; the peer is q.RemoteAddr. The error says that the request has too
// many hops.
func (r *Rules) Apply(q *http.Request) error {
	peer := ParseAddr(q.RemoteAddr)
	h := q.Header
	if !r.Trusts(peer) {
		for _, name := range untrustedFields {
			delete(h, name)
		}
	}
	hops := strings.Join(h["X-Forwarded-For"], ", ")
	if strings.Count(hops, ",") >= MaxHops {
		return errTooManyHops
	}
	if !peer.IsValid() { // in a test, or on a socket without addresses
		return nil
	}
	scheme := "http"
	if q.TLS != nil {
		scheme = "https"
	}
	h["X-Forwarded-For"] = []string{appendElement(hops, peer.String())}
	setUnlessSingle(h, "X-Forwarded-Proto", scheme)
	setUnlessSingle(h, "X-Forwarded-Host", q.Host)
	if r.WriteForwarded {
		element := "for=" + formatNode(peer) + ";host=" + quote(q.Host) + ";proto=" + scheme
		h["Forwarded"] = []string{appendElement(strings.Join(h["Forwarded"], ", "), element)}
	}
	return nil
}

// appendElement appends an element to a list in a field's value.
func appendElement(list, element string) string {
	if list == "" {
		return element
	}
	return list + ", " + element
}

// setUnlessSingle sets a field, unless it is there exactly once.
func setUnlessSingle(h http.Header, name, value string) {
	if len(h[name]) != 1 {
		h[name] = []string{value}
	}
}

// formatNode formats an address as a node (RFC 7239, 6).
func formatNode(a netip.Addr) string {
	if a.Is6() {
		return `"[` + a.String() + `]"`
	}
	return a.String()
}

// quote returns a quoted-string (RFC 9110, 5.6.4).
func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
