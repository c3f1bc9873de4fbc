// Package webpeer is a fake server that answers each request according to the instruction in its header X-Do, over
// HTTP/1.1 or HTTP/2, with or without TLS, and records the requests. It can listen on several addresses, so that a retry
// has another endpoint.
//
//   - webpeer.go: the server and its record of requests
//   - instructions.go: the instructions
//   - protocol.go: the protocol of a connection
package webpeer

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Peer is a fake server. Create it with Start. Its methods are safe for concurrent use.
type Peer struct {
	Addrs     []string
	Started   atomic.Int64 // number of requests whose headers were received
	Completed atomic.Int64 // number of requests that were received completely, except "early" and "echo" instructions

	server *http.Server

	mu       sync.Mutex
	requests []*http.Request // completed requests
	sums     []string        // SHA-256 of the body of each completed request in hexadecimal digits
}

// Start starts a server on the given number of free ports of 127.0.0.1. keys is used only if the protocol has TLS.
func Start(protocol Protocol, keys *tls.Config, addresses int) (*Peer, error) {
	p := &Peer{}
	p.server = &http.Server{
		Handler: p, Protocols: protocol.HTTPProtocols(), ErrorLog: log.New(io.Discard, "", 0), TLSConfig: keys,
	}
	for range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.Down()
			return nil, err
		}
		p.Addrs = append(p.Addrs, listener.Addr().String())
		if protocol.TLS {
			go p.server.ServeTLS(listener, "", "")
		} else {
			go p.server.Serve(listener)
		}
	}
	return p, nil
}

// Down closes the server and its connections.
func (p *Peer) Down() { p.server.Close() }

// Last returns the latest completed request and the SHA-256 of its body in hexadecimal digits, or nil and "" if there is
// none.
func (p *Peer) Last() (*http.Request, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.requests) == 0 {
		return nil, ""
	}
	return p.requests[len(p.requests)-1], p.sums[len(p.sums)-1]
}

// Executed returns the number of completed requests for each request ID, of requests whose path begins with prefix.
func (p *Peer) Executed(prefix string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	executed := map[string]int{}
	for _, r := range p.requests {
		if strings.HasPrefix(r.URL.Path, prefix) {
			executed[r.Header.Get("X-Request-Id")]++
		}
	}
	return executed
}

// record records a completed request and returns the number of completed requests.
func (p *Peer) record(r *http.Request, sum string) int64 {
	p.mu.Lock()
	p.requests = append(p.requests, r)
	p.sums = append(p.sums, sum)
	p.mu.Unlock()
	return p.Completed.Add(1)
}

// Pattern returns a body of n bytes whose parts differ, so that lost or moved parts are detected.
func Pattern(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i*7 + i>>8)
	}
	return body
}
