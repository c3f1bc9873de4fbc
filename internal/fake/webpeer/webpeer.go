// Package webpeer is a stand-in server that does what each request's X-Do says, over HTTP/1.1
// or HTTP/2 and with TLS or without, and counts what came to it. It stands in several places
// at once, so that a further attempt has somewhere to go.
package webpeer

import (
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Protocol is how a side speaks.
type Protocol struct{ HTTP2, TLS bool }

// AllProtocols gives all ways: HTTP/1.1 in clear and over TLS, HTTP/2 in clear and over TLS.
func AllProtocols() []Protocol {
	return []Protocol{{}, {TLS: true}, {HTTP2: true}, {HTTP2: true, TLS: true}}
}

// String gives http1, http2+tls and the like.
func (w Protocol) String() string {
	name := "http1"
	if w.HTTP2 {
		name = "http2"
	}
	if w.TLS {
		name += "+tls"
	}
	return name
}

// HTTPProtocols has the one protocol of the side.
func (w Protocol) HTTPProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(!w.HTTP2)
	p.SetHTTP2(w.HTTP2 && w.TLS)
	p.SetUnencryptedHTTP2(w.HTTP2 && !w.TLS)
	return p
}

// ALPN names the protocol of the side (RFC 7301).
func (w Protocol) ALPN() string {
	if w.HTTP2 {
		return "h2"
	}
	return "http/1.1"
}

// Peer is the server. Create it with Start.
type Peer struct {
	Addrs     []string
	Completed atomic.Int64 // requests that came to their last byte
	Started   atomic.Int64

	srv  *http.Server
	mu   sync.Mutex
	seen []*http.Request
	sums []string // SHA-256 of the bodies, in hexadecimal digits
}

// Start starts a server in so many places of 127.0.0.1; keys are for a Protocol with TLS.
func Start(w Protocol, keys *tls.Config, places int) (*Peer, error) {
	p := &Peer{}
	p.srv = &http.Server{Handler: p, Protocols: w.HTTPProtocols(), ErrorLog: log.New(io.Discard, "", 0), TLSConfig: keys}
	for range places {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.Down()
			return nil, err
		}
		p.Addrs = append(p.Addrs, l.Addr().String())
		if w.TLS {
			go p.srv.ServeTLS(l, "", "")
		} else {
			go p.srv.Serve(l)
		}
	}
	return p, nil
}

// Down ends the server with its connections.
func (p *Peer) Down() { p.srv.Close() }

// Last gives the latest request that came to its end, and its body's sum.
func (p *Peer) Last() (*http.Request, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.seen) == 0 {
		return nil, ""
	}
	return p.seen[len(p.seen)-1], p.sums[len(p.sums)-1]
}

// Executed counts the requests under a path's beginning that came to their end, by id.
func (p *Peer) Executed(prefix string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, r := range p.seen {
		if strings.HasPrefix(r.URL.Path, prefix) {
			out[r.Header.Get("X-Request-Id")]++
		}
	}
	return out
}

// ServeHTTP reads the body, unless told to answer before, and does as it is told.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.Started.Add(1)
	do, arg, _ := strings.Cut(r.Header.Get("X-Do"), " ")
	n, _ := strconv.Atoi(arg)
	control := http.NewResponseController(w)
	if do == "early" {
		w.Header().Set("Connection", "close")
		http.Error(w, "enough", http.StatusRequestEntityTooLarge)
		return
	}
	if do == "echo" {
		control.EnableFullDuplex()
		part := make([]byte, 4<<10)
		for {
			n, err := r.Body.Read(part)
			w.Write(part[:n])
			control.Flush()
			if err != nil {
				return
			}
		}
	}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	p.mu.Lock()
	p.seen = append(p.seen, r)
	p.sums = append(p.sums, fmt.Sprintf("%x", h.Sum(nil)))
	p.mu.Unlock()
	count := p.Completed.Add(1)
	switch do {
	case "status":
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(n)
		if n != 204 && n != 304 {
			fmt.Fprintf(w, "status %d", n)
		}
	case "known":
		w.Header().Set("Content-Length", arg)
		w.Write(Pattern(n))
	case "unknown":
		for text := Pattern(n); ; {
			m := min(len(text), 10_000)
			w.Write(text[:m])
			control.Flush()
			if text = text[m:]; len(text) == 0 {
				return
			}
		}
	case "trailer":
		w.Header().Set("Trailer", "X-Sum")
		w.Write(Pattern(n))
		control.Flush()
		w.Header().Set("X-Sum", "42")
	case "fields":
		w.Header()["X-Many"] = []string{"a", "b", "c, d"}
		w.Header()["Set-Cookie"] = []string{"a=1; Path=/", "b=2"}
		w.Header().Set("X-Long", strings.Repeat("v", n))
	case "hop":
		if r.ProtoMajor == 1 {
			w.Header().Set("Keep-Alive", "timeout=7")
			w.Header().Set("Proxy-Authenticate", "Basic")
		}
		w.Header().Set("X-End", "to end")
	case "event":
		io.WriteString(w, "data: first\n\n")
		control.Flush()
		<-r.Context().Done()
	case "break": // behind so many bytes of a longer body
		if arg != "" {
			w.Header().Set("Content-Length", "1000000")
			w.Write(Pattern(n))
			control.Flush()
		}
		panic(http.ErrAbortHandler)
	case "break-once":
		if count%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "second")
	default:
		fmt.Fprintf(w, "%s %s", r.Method, r.URL.RequestURI())
	}
}

// Pattern is a body of n bytes that tells parts from one another.
func Pattern(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i*7 + i>>8)
	}
	return out
}
