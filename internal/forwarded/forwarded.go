// Package forwarded handles the header fields that describe a request's path through proxies: X-Forwarded-* (a de facto
// standard) and Forwarded (RFC 7239), which have the client's address, scheme and host. These fields are kept if they
// come from a proxy in a trusted network and removed otherwise, so that no client can pretend to be another. The hop to
// this program is then added for the next recipient. The package does no I/O.
//
// forwarded.go rewrites the fields; trust.go declares the trusted proxies and finds the client's address.
package forwarded

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
)

// MaxHops is the largest number of addresses that a request's X-Forwarded-For may have when the request arrives.
const MaxHops = 32

var errTooManyHops = errors.New("X-Forwarded-For names too many hops")

// untrustedFields are the header fields in which proxies describe the client, its request's URL and the hops so far. Apply
// removes them unless the peer is a trusted proxy.
var untrustedFields = []string{
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip",
	"X-Client-Ip", "True-Client-Ip", "X-Envoy-External-Address", "X-Envoy-Original-Path", "X-Original-Url",
	"X-Rewrite-Url",
}

// Apply rewrites the header fields that describe a request's path through proxies. The peer that sent the request is
// q.RemoteAddr. If X-Forwarded-For has more than MaxHops addresses, Apply returns an error, whose text is the response's
// body.
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
	if !peer.IsValid() { // the request comes from a test, or through a socket without addresses
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

// appendElement appends an element to the comma-separated list in a header field's value.
func appendElement(list, element string) string {
	if list == "" {
		return element
	}
	return list + ", " + element
}

// setUnlessSingle sets a header field, unless h has exactly one value of it.
func setUnlessSingle(h http.Header, name, value string) {
	if len(h[name]) != 1 {
		h[name] = []string{value}
	}
}

// formatNode formats an address as a node identifier (RFC 7239, section 6).
func formatNode(a netip.Addr) string {
	if a.Is6() {
		return `"[` + a.String() + `]"`
	}
	return a.String()
}

// quote returns s as a quoted-string (RFC 9110, section 5.6.4).
func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
