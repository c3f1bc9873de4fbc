package rig

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is a request as a client sends it, and as a server gets it.
type Request struct {
	Method, Target, ID, Tenant, Key, Body string
	Timeout                               time.Duration
}

// Answer is what a client got.
type Answer struct {
	Status int // 0: no whole answer
	Body   string
	Header http.Header
	Err    error
}

// Refused reports whether the answer is a refusal by the protocol page.
func (a Answer) Refused() bool { return a.Status == 429 || a.Status == 503 }

// Send sends a request on a connection of its own and returns the answer. It waits for one second more than the client
// would.
func (r *Run) Send(address string, q Request) Answer {
	return r.SendBy(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, address, q)
}

// SendBy is Send by a client that may keep its connections.
func (r *Run) SendBy(client *http.Client, address string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Target, strings.NewReader(q.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("X-Request-ID", q.ID)
	req.Header.Set("X-Timeout-Ms", itoa(q.Timeout.Milliseconds()))
	if q.Tenant != "" {
		req.Header.Set("X-Tenant-Id", q.Tenant)
	}
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	r.Logf("client: sends %s %s id=%s tenant=%s key=%s", q.Method, q.Target, q.ID, q.Tenant, q.Key)
	resp, err := client.Do(req)
	if err != nil {
		r.Logf("client: id=%s got no answer: %v", q.ID, err)
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Logf("client: id=%s got no whole answer: %v", q.ID, err)
		return Answer{Err: err}
	}
	r.Logf("client: id=%s got %d %q %v", q.ID, resp.StatusCode, strings.TrimSpace(string(body)), short(resp.Header))
	return Answer{Status: resp.StatusCode, Body: string(body), Header: resp.Header}
}

// short returns the header fields that matter for a record.
func short(h http.Header) string {
	var out []string
	for _, name := range []string{"Retry-After", "X-Not-Processed", "Idempotent-Replayed"} {
		if v := h.Get(name); v != "" {
			out = append(out, name+": "+v)
		}
	}
	return strings.Join(out, ", ")
}

// Server is a stand-in for a server. It answers each request by its function, and is shut by Close.
type Server struct {
	Name, Address string
	http          *http.Server
}

// StartServer starts a stand-in for a server. The handler is called once the last byte of a request has come.
func (r *Run) StartServer(name, address string, handle func(w http.ResponseWriter, q Request)) *Server {
	l, err := net.Listen("tcp", address)
	if err != nil {
		r.Fatal("server %s: %v", name, err)
	}
	s := &Server{Name: name, Address: l.Addr().String()}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		handle(w, Request{
			Method: req.Method, Target: req.RequestURI, ID: req.Header.Get("X-Request-ID"),
			Tenant: req.Header.Get("X-Tenant-Id"), Key: req.Header.Get("Idempotency-Key"), Body: string(body),
		})
	})}
	go s.http.Serve(l)
	return s
}

// Close ends a server and resets its connections.
func (s *Server) Close() { s.http.Close() }

// Ran counts how often the servers have run the work of each key, or of each id for requests without a key.
type Ran struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add records that the work of a key was run, and returns how often it has run by now.
func (n *Ran) Add(key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts = map[string]int{}
	}
	n.counts[key]++
	return n.counts[key]
}

// Count returns how often the work of a key was run.
func (n *Ran) Count(key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[key]
}

// ResetConnection ends the connection of a request with no answer, as a process that dies does.
func ResetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// AwaitServing waits until an address accepts connections.
func (r *Run) AwaitServing(address string, p *Process) {
	for range 500 {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			return
		}
		select {
		case <-p.Ended:
			r.Fatal("the program ended: %s", r.Log(p))
		case <-time.After(20 * time.Millisecond):
		}
	}
	r.Fatal("the program does not serve: %s", r.Log(p))
}
