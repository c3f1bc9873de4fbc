// Package webpeer is a fake server that answers each request as its X-Do field instructs, over HTTP/1.1 or HTTP/2, with
// or without TLS, and counts the requests. It listens on several addresses at once, so that there is another endpoint
// for a retry.
//
//   - webpeer.go: the server and what it recorded
//   - instructions.go: the instructions and how each is carried out
//   - protocol.go: what a side speaks
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

// Peer is the server. Create it with Start; its methods are safe for concurrent use.
type Peer struct {
	Addrs     []string
	Started   atomic.Int64 // requests whose header was received
	Completed atomic.Int64 // requests that were received to the last byte, without those that say early or echo

	server *http.Server

	mu       sync.Mutex
	requests []*http.Request // the completed ones
	sums     []string        // SHA-256 of their bodies, in hexadecimal digits
}

// Start starts a server on a number of addresses of 127.0.0.1. keys are used if the protocol has TLS.
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

// Last returns the latest completed request, nil if there is none, and the SHA-256 of its body in hexadecimal digits.
func (p *Peer) Last() (*http.Request, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.requests) == 0 {
		return nil, ""
	}
	return p.requests[len(p.requests)-1], p.sums[len(p.sums)-1]
}

// Executed returns how often each request, by its id, was completed whose path has a prefix.
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

// record adds a completed request and returns their number.
func (p *Peer) record(r *http.Request, sum string) int64 {
	p.mu.Lock()
	p.requests = append(p.requests, r)
	p.sums = append(p.sums, sum)
	p.mu.Unlock()
	return p.Completed.Add(1)
}

// Pattern returns a body of n bytes in which parts differ, so that lost and moved ones show.
func Pattern(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i*7 + i>>8)
	}
	return body
}
