package node

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/policy"
)

const (
	// answerMargin is kept between a final answer and the end of the client's
	// time, for the way of the request here and of the answer's last byte back.
	answerMargin  = 10 * time.Millisecond
	maxHeader     = 16 << 10
	headerTimeout = 10 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout is how long after its time a client may still take its answer.
	// One that reads nothing would else hold its connection for good.
	writeTimeout = 500 * time.Millisecond
)

// frontend takes clients' requests and gives them their answers.
type frontend struct {
	cfg      *Config
	loop     *loop
	conns    clientConns
	ready    atomic.Bool // a list of servers is known
	draining atomic.Bool
}

func (f *frontend) server() *http.Server {
	return &http.Server{
		Handler: f, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: f.conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

type connKey struct{}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close") // have clients move to other nodes
	}
	if r.URL.Path == "/health/ready" {
		f.readiness(w)
		return
	}
	q, err := f.parse(w, r)
	if err != nil {
		var bad *badRequest
		if !errors.As(err, &bad) {
			bad = &badRequest{http.StatusBadRequest, "the body can't be read"}
		}
		http.Error(w, bad.text, bad.status)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok && c.over {
		w.Header().Set("Connection", "close")
		f.write(w, answer{status: http.StatusServiceUnavailable, retryAfter: f.cfg.Policy.Limits.MaxRetryAfter})
		return
	}
	end := time.Now().Add(q.end - f.loop.clock() + writeTimeout)
	if a, ok := f.loop.do(r.Context(), q); ok {
		http.NewResponseController(w).SetWriteDeadline(end)
		f.write(w, a)
		return
	}
	panic(http.ErrAbortHandler) // nobody is there to be answered
}

func (f *frontend) readiness(w http.ResponseWriter) {
	if !f.ready.Load() || f.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (f *frontend) write(w http.ResponseWriter, a answer) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// badRequest is a request that no server gets to see.
type badRequest struct {
	status int
	text   string
}

func (b *badRequest) Error() string { return b.text }

func bad(text string) error { return &badRequest{http.StatusBadRequest, text} }

// parse reads and checks a request.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request) (*request, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.cfg.Classes[name]
	if !ok {
		return nil, &badRequest{http.StatusNotFound, "unknown class"}
	}
	if !validID(r.Header["X-Request-Id"]) {
		return nil, bad("X-Request-ID is missing or malformed")
	}
	tenant, ok := 0, true
	if len(f.cfg.Tenants) > 0 {
		tenant, ok = f.cfg.Tenants[one(r.Header["X-Tenant-Id"])]
	}
	if !ok {
		return nil, bad("X-Tenant-Id is missing or unknown")
	}
	timeout, err := strconv.ParseUint(one(r.Header["X-Timeout-Ms"]), 10, 31)
	if err != nil || timeout == 0 {
		return nil, bad("X-Timeout-Ms is missing or no whole number of milliseconds")
	}
	c := &f.cfg.Policy.Classes[class]
	method := http.MethodPost
	if c.Effect == policy.Safe {
		method = http.MethodGet
	}
	keys := r.Header["Idempotency-Key"]
	switch {
	case r.Method != method:
		w.Header().Set("Allow", method)
		return nil, &badRequest{http.StatusMethodNotAllowed, "the class wants " + method}
	case c.Effect == policy.Keyed && one(keys) == "":
		return nil, bad("Idempotency-Key is missing")
	case c.Effect == policy.Unsafe && len(keys) > 0:
		return nil, bad("the class takes no Idempotency-Key")
	case c.Effect == policy.Safe && r.ContentLength != 0:
		return nil, bad("the class takes no body")
	}
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	hint, _ := strconv.ParseUint(one(r.Header["X-Cost"]), 10, 31) // a guess only: 0 is none
	return &request{
		outgoing: outgoing{
			method: r.Method, host: r.Host, header: endToEnd(r.Header), body: body,
			url: &url.URL{
				Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
			},
		},
		class: class, tenant: tenant, hint: time.Duration(hint) * time.Microsecond,
		end: f.loop.clock() + min(time.Duration(timeout)*time.Millisecond, c.Deadline) - answerMargin,
	}, nil
}

// readBody reads a body of bounded size in bounded time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return nil, err
	}
	control.SetReadDeadline(time.Time{})
	return body, nil
}

// one gives the value of a header that must come once, "" otherwise.
func one(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

func validID(values []string) bool {
	id := one(values)
	if id == "" || len(id) > 128 {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// hopByHop lists the headers that belong to a connection, not to a message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd copies the headers that go on to the other side.
func endToEnd(from http.Header) http.Header {
	h := from.Clone()
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.Del("Expect") // was met here
	h.Del("Content-Length")
	return h
}

// clientConns keeps the number of client connections under a cap. Over it, the
// longest idle one makes room; where none is idle the new one is answered with
// a refusal, as long as spare descriptors last.
type clientConns struct {
	max, spare int

	mu    sync.Mutex
	open  int
	idle  list.List // of net.Conn, the longest idle first
	place map[net.Conn]*list.Element
}

// clientConn is a connection that counts.
type clientConn struct {
	net.Conn
	conns *clientConns
	over  bool // accepted over the cap
	once  sync.Once
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.once.Do(func() {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.open--
		c.conns.unlist(c)
	})
	return c.Conn.Close()
}

// cappedListener counts what it accepts.
type cappedListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l cappedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

func (cs *clientConns) admit(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, conns: cs}
	cs.mu.Lock()
	var victim net.Conn
	if cs.open >= cs.max {
		if e := cs.idle.Front(); e != nil {
			victim = e.Value.(net.Conn)
			cs.unlist(victim)
		} else if c.over = true; cs.open >= cs.max+cs.spare {
			cs.mu.Unlock()
			return nil
		}
	}
	cs.open++
	cs.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	return c
}

// unlist takes a connection from the idle ones; cs.mu is held.
func (cs *clientConns) unlist(c net.Conn) {
	if e := cs.place[c]; e != nil {
		cs.idle.Remove(e)
		delete(cs.place, c)
	}
}

// state follows which connections are idle.
func (cs *clientConns) state(c net.Conn, s http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.unlist(c)
	if s == http.StateIdle {
		cs.place[c] = cs.idle.PushBack(c)
	}
}
