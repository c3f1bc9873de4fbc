package webpeer

import "net/http"

// Protocol is an HTTP version with or without TLS. The zero value is HTTP/1.1 in clear text.
type Protocol struct{ HTTP2, TLS bool }

// AllProtocols returns HTTP/1.1 in clear text and over TLS, then HTTP/2 in clear text and over TLS.
func AllProtocols() []Protocol {
	return []Protocol{{}, {TLS: true}, {HTTP2: true}, {HTTP2: true, TLS: true}}
}

// String returns http1, http1+tls, http2 or http2+tls.
func (p Protocol) String() string {
	name := "http1"
	if p.HTTP2 {
		name = "http2"
	}
	if p.TLS {
		name += "+tls"
	}
	return name
}

// HTTPProtocols returns the set that contains only this protocol.
func (p Protocol) HTTPProtocols() *http.Protocols {
	set := new(http.Protocols)
	set.SetHTTP1(!p.HTTP2)
	set.SetHTTP2(p.HTTP2 && p.TLS)
	set.SetUnencryptedHTTP2(p.HTTP2 && !p.TLS)
	return set
}

// ALPN returns the protocol's identifier in TLS ALPN (RFC 7301).
func (p Protocol) ALPN() string {
	if p.HTTP2 {
		return "h2"
	}
	return "http/1.1"
}
