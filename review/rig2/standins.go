package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// dedupWindow is how long servers drop repeats of a key.
const dedupWindow = 6 * time.Second

// world is what all servers have done: the effects by tenant and key, or by request id.
type world struct {
	rig     *rig
	mu      sync.Mutex
	effects map[string][]effect // by what a request is known by
}

// effect is one run of a request.
type effect struct {
	server string
	at     time.Time
}

func newWorld(r *rig) *world { return &world{rig: r, effects: map[string][]effect{}} }

// checkOnce records a break of the rule if a request ran again within the window of its first run. clockMargin is left out at
// the window's end, since the program's window begins a little before the server's.
func (w *world) checkOnce(name string) {
	const clockMargin = 500 * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.effects[name]
	for i := 1; i < len(runs); i++ {
		if after := runs[i].at.Sub(runs[0].at); after < dedupWindow-clockMargin {
			w.rig.broken("the push %s ran at %s and again at %s, %.2f s after",
				name, runs[0].server, runs[i].server, after.Seconds())
			return
		}
	}
}

// server is a stand-in of a server. It runs each request once, but for a repeated key that it has met within the window,
// which it drops: it answers with what it answered first.
type server struct {
	world  *world
	name   string
	addr   string
	window time.Duration
	http   *http.Server
	delay  atomic.Int64 // nanoseconds of work for each request

	mu   sync.Mutex
	keys map[string]metKey
	got  []arrival
}

// metKey is a key that a server has met.
type metKey struct {
	at     time.Time
	answer string
}

// arrival is a request that a server got.
type arrival struct {
	at time.Time
	id string
}

// startServer starts a server on a free loopback port.
func (w *world) startServer(name string, window time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.rig.must(err)
	s := &server{world: w, name: name, addr: l.Addr().String(), window: window, keys: map[string]metKey{}}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s
}

// The cells of the servers that startServers starts.
const (
	sameCell = iota
	ownCells
)

// startServers starts n servers, app-1 and so on, and returns them with their entries in a cluster file.
func (w *world) startServers(n, cells int) (servers []*server, endpoints []string) {
	for i := range n {
		servers = append(servers, w.startServer(fmt.Sprintf("app-%d", i+1), dedupWindow))
		endpoints = append(endpoints, servers[i].endpoint("kigali-room1", i*cells, "healthy"))
	}
	return servers, endpoints
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id, key, tenant := q.Header.Get("X-Request-Id"), q.Header.Get("Idempotency-Key"), q.Header.Get("X-Tenant-Id")
	known := tenant + "/" + key
	s.mu.Lock()
	s.got = append(s.got, arrival{at, id})
	met, repeated := s.keys[known]
	repeated = repeated && key != "" && at.Sub(met.at) < s.window
	answer := fmt.Sprintf("%s %s of tenant %s with key %s by %s: %s", q.Method, q.URL.Path, tenant, key, s.name, body)
	if !repeated {
		s.keys[known] = metKey{at, answer}
	}
	s.mu.Unlock()
	if repeated {
		s.world.rig.logf("server %s got %s key %s, a repeat that it drops", s.name, id, known)
		io.WriteString(out, met.answer)
		return
	}
	if q.Method != http.MethodGet {
		if key == "" {
			known = id
		}
		s.world.mu.Lock()
		s.world.effects[known] = append(s.world.effects[known], effect{s.name, at})
		s.world.mu.Unlock()
	}
	s.world.rig.logf("server %s runs %s %s %s key %s", s.name, q.Method, q.URL.Path, id, known)
	time.Sleep(time.Duration(s.delay.Load()))
	io.WriteString(out, answer)
}

// arrivalsAfter returns the requests that came to the server after a time.
func (s *server) arrivalsAfter(t time.Time) (late []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.got {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// endpoint returns the server's entry in a cluster file.
func (s *server) endpoint(zone string, cell int, health string) string {
	return fmt.Sprintf("[[endpoint]]\nid = %q\naddress = %q\nzone = %q\ncell = %d\nweight = 1\nhealth = %q\n\n",
		s.name, s.addr, zone, cell, health)
}

// clusterFile returns a cluster file of endpoints.
func clusterFile(name string, endpoints ...string) string {
	return fmt.Sprintf("[cluster]\nname = %q\n\n%s[end]\nendpoints = %d\n", name, strings.Join(endpoints, ""), len(endpoints))
}

// client is a stand-in of a client with connections of its own.
type client struct {
	rig  *rig
	base string
	http *http.Client
	next atomic.Int64
	name string
}

// newClient returns a client of the program that listens at addr.
func (r *rig) newClient(name, addr string) *client {
	return &client{rig: r, base: "http://" + addr, name: name, http: &http.Client{Transport: &http.Transport{}}}
}

// answer is what a client got; status is 0 without a whole answer.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// request is what a client sends.
type request struct {
	method, path, tenant, key, body string
	timeout                         time.Duration
}

// do sends a request under a new id and waits for its answer, and records both.
func (c *client) do(q request) (id string, a answer) {
	c.rig.logf("client %s sends %s %s tenant %q key %q", c.name, q.method, q.path, q.tenant, q.key)
	id, a = c.doQuietly(q)
	c.rig.logf("client got for %s: %d replayed %q %q %v", id, a.status, a.header.Get("Idempotent-Replayed"), a.body, a.err)
	return id, a
}

// doQuietly is do without a record.
func (c *client) doQuietly(q request) (id string, a answer) {
	id = fmt.Sprintf("%s-%d", c.name, c.next.Add(1))
	timeout := q.timeout
	if timeout == 0 {
		timeout = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, c.base+q.path, bytes.NewReader([]byte(q.body)))
	c.rig.must(err)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if q.tenant != "" {
		r.Header.Set("X-Tenant-Id", q.tenant)
	}
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	resp, err := c.http.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a = answer{resp.StatusCode, string(body), resp.Header, err}
	}
	if err != nil {
		a.status, a.err = 0, err
	}
	return id, a
}

// ready reports whether the program answers its readiness check with 200.
func (c *client) ready() bool {
	resp, err := c.http.Get(c.base + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
