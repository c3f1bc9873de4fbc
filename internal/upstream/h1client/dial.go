package h1client

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// connect returns an idle or a new connection to an endpoint. If there is none, it returns nil and the attempt's status.
func (p *Pool) connect(call *engine.Call, id policy.EndpointID) (*conn, policy.Status) {
	c, e, status := p.acquire(id)
	switch {
	case status != policy.OK:
		return nil, status
	case c != nil && !p.awaitReuseDelay(call, c):
		p.release(c, true)
		return nil, policy.NeverSent
	case c != nil:
		return c, policy.OK
	}
	p.mu.Lock()
	timeout := p.connectTimeout
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(call.Context(), timeout)
	defer cancel()
	nc, err := Dial(ctx, e.address, p.tls, "http/1.1")
	if err != nil {
		p.mu.Lock()
		p.connections--
		p.mu.Unlock()
		return nil, policy.ConnectFailed
	}
	return newConn(nc, e), policy.OK
}

// Dial connects to an endpoint. With a TLS configuration, it performs the handshake and negotiates proto by ALPN (RFC 7301).
// If the endpoint negotiates no protocol, Dial assumes HTTP/1.1. Dial returns an error if the protocol is not
// proto.
func Dial(ctx context.Context, address string, config *tls.Config, proto string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || config == nil {
		return nc, err
	}
	config = config.Clone()
	config.NextProtos = []string{proto}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	tc := tls.Client(nc, config)
	if err := tc.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	negotiated := tc.ConnectionState().NegotiatedProtocol
	if negotiated != proto && (proto == "h2" || negotiated != "") {
		nc.Close()
		return nil, fmt.Errorf("h1client: the TLS handshake with endpoint %s did not negotiate protocol %s", address, proto)
	}
	return tc, nil
}
