// Package h1client carries attempts to servers over HTTP/1.1. It decides nothing: each
// call is one attempt, and nothing is sent again by itself.
package h1client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/keepalive"
	"yokestall/policy"
)

const (
	// MaxBody is how many bytes of an answer's body are waited for before it goes on.
	MaxBody    = 64 << 10
	maxAnswer  = MaxBody + 64<<10 // of a server's answer with head and framing
	maxInterim = 8                // 1xx answers ahead of the real one
	// AnswerTransferTimeout is the longest time from an answer's first byte to its last.
	AnswerTransferTimeout = 150 * time.Millisecond
	// IdleTimeoutFraction is the part of the servers' idle time after which a connection is retired.
	IdleTimeoutFraction = 0.6
	keepMessage         = 4 << 10 // bytes of a sent request's buffer that an idle connection keeps
)

// settleTime is kept from an answer to the next request on its connection. With
// ten times as much the connections rest longer, and more of them are reset at
// their next request (327 against 91 on the same day).
const settleTime = time.Millisecond

// patientFrom is what the last exchange of a connection took at the least for its settling to be
// waited for; patientParts the same in settling times, where Options.ReuseDelay gives a longer one.
const (
	patientFrom  = 10 * settleTime
	patientParts = 2
)

// StreamLimits are how long bodies that are passed on while they come may take, and connections
// that were upgraded last. What is 0 is not limited, but for Stall.
type StreamLimits struct {
	StallTimeout time.Duration // a server may leave one with nothing to read, or unread, for so long; 0: StreamStall
	MaxDuration  time.Duration // from the answer's head
	DrainTimeout time.Duration // from word that the server drains or is gone
}

// Answer is a server's answer, read to its end.
type Answer struct {
	Status int         // 200 alone, but for Options.AnyStatus
	Header http.Header // end-to-end ones
	Body   []byte
	// Length is what the answer to a HEAD says of its body (RFC 9110, 9.3.2), or how long
	// the stream is; -1: nothing is said.
	Length int64
	Stream Stream // in place of Body; nil: the body is whole
	// Tunnel is the server's side of a connection that it has upgraded (status 101), to the
	// protocol Upgrade; nil: it has not.
	Tunnel  net.Conn
	Upgrade string
	// Trailer are the fields behind the body (RFC 9110, 6.5), of a stream once it was read
	// to its end; nil: none.
	Trailer http.Header
}

// Close ends a stream that nobody takes.
func (a *Answer) Close() error {
	switch {
	case a.Stream != nil:
		return a.Stream.Close()
	case a.Tunnel != nil:
		return a.Tunnel.Close()
	}
	return nil
}

// Endpoint is where a server listens, under one start of it.
type Endpoint struct {
	ID          policy.EndpointID
	Address     string  // host:port
	Incarnation float64 // anything that changes when the server starts anew
	Removed     bool
}

// Options are the figures of a Pool.
type Options struct {
	EndpointIdleTimeout time.Duration // servers close a connection that was idle for so long
	ConnectTimeout      time.Duration
	MaxConnections      int // connections to all servers, those being opened included
	// ReuseDelay is kept from an answer to the next request on its connection; 0: a millisecond. What
	// comes behind an answer belongs to nobody: it must not be taken for the next one's.
	ReuseDelay time.Duration
	// AnyStatus takes each answer under 500 for one that was served; else 200 alone. Other
	// answers come with their results, for clients with whom nothing better is left, and
	// a body that is larger than MaxBody, or slow to come, is passed on as a stream.
	AnyStatus bool
	// NodeCount share the servers; 0: this one is alone. Prices are the site's.
	NodeCount int
	Prices    keepalive.Prices
	// StreamLargeBodies passes answers with a body over MaxBody on as streams, also without AnyAnswer; a smaller
	// one may take long so long as it goes on.
	StreamLargeBodies bool
	TLS               *tls.Config // to servers; nil: clear text
}

// Pool holds the servers' addresses and the idle connections to them, and is an
// engine.Exchanger for payloads of *Request and answers of *Answer. The connections are
// its own, not those of an http.Transport: that one sends a request again by itself,
// which would be an attempt nobody decided on.
type Pool struct {
	idleFor        time.Duration // a connection that was idle for longer is not used
	nodes          int
	prices         keepalive.Prices
	settle         time.Duration
	patient        time.Duration // see patientFrom
	connectTimeout time.Duration
	maxOpen        int
	anyAnswer      bool
	large          bool
	tls            *tls.Config

	mu      sync.Mutex
	servers map[policy.EndpointID]*server
	open    int           // connections to all servers, those being opened included
	keep    int           // idle ones to one server
	span    time.Duration // how long they are kept
	given   int           // connections that came back since the last look
	looked  time.Time
}

// server is a Server with its connections.
type server struct {
	addr    string
	started float64
	idle    []*conn // the one used last at the end
	gone    bool    // or restarted, or moved: connections are not kept
	used    bool    // a connection came back since the last look
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	server *server
	reader *bufio.Reader
	budget int   // bytes that the present answer may still have
	ended  error // what reading met when the connection broke or ended
	used   bool  // it comes from the pool
	since  time.Time
	began  time.Time     // the latest exchange,
	took   time.Duration // and what it took

	message []byte          // what is sent, kept for the next one
	raw     syscall.RawConn // nil if it has none
	silent  bool            // what peek found
	peek    func(fd uintptr)
	giveUp  func()
	limited bool // a read deadline is set
	// saidClose: the present answer's head says that the connection ends with it.
	saidClose bool
	tls       bool // a new one has tickets to be read, behind the handshake (RFC 8446, 4.6.1)
}

var (
	errTooLarge = errors.New("answer too large")
	errNoAnswer = errors.New("no HTTP answer")
)

const answerStart = "HTTP/1."

// Read bounds what a server may send for one request.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.budget)])
	c.budget -= n
	c.ended = err
	return n, err
}

// New makes a pool with no servers.
func New(o Options) *Pool {
	u := &Pool{
		idleFor: time.Duration(float64(o.EndpointIdleTimeout) * IdleTimeoutFraction),
		settle:  settleTime, patient: patientFrom, connectTimeout: o.ConnectTimeout, maxOpen: o.MaxConnections, anyAnswer: o.AnyStatus, large: o.StreamLargeBodies, tls: o.TLS,
		servers: map[policy.EndpointID]*server{}, nodes: o.NodeCount, prices: o.Prices,
		keep: keepalive.MaxIdle(keepalive.Fleet{Nodes: o.NodeCount}), span: time.Duration(float64(o.EndpointIdleTimeout) * IdleTimeoutFraction), looked: time.Now(),
	}
	if o.ReuseDelay > 0 {
		u.settle, u.patient = o.ReuseDelay, max(patientFrom, patientParts*o.ReuseDelay)
	}
	return u
}

// SetLimits changes the figures of connections that are opened from now on.
func (u *Pool) SetLimits(connectTimeout time.Duration, maxOpen int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connectTimeout, u.maxOpen = connectTimeout, maxOpen
	evicted := true
	for u.open > maxOpen && evicted {
		evicted = u.evict()
	}
}

// OpenConnections is how many connections there are, those being opened included.
func (u *Pool) OpenConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// UpdateEndpoints follows the list of servers; whole if those that it does not name are gone. A
// server at a new address or with a new start is another process: connections to the
// former one are dropped.
func (u *Pool) UpdateEndpoints(whole bool, list []Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[policy.EndpointID]bool{}
	for _, in := range list {
		old := u.servers[in.ID]
		if in.Removed {
			u.drop(in.ID, old)
			continue
		}
		listed[in.ID] = true
		if old != nil && old.addr == in.Address && old.started == in.Incarnation {
			continue
		}
		u.drop(in.ID, old)
		u.servers[in.ID] = &server{addr: in.Address, started: in.Incarnation}
	}
	if !whole {
		return
	}
	for id, s := range u.servers {
		if !listed[id] {
			u.drop(id, s)
		}
	}
}

// drop forgets a server; u.mu is held.
func (u *Pool) drop(id policy.EndpointID, s *server) {
	if s == nil {
		return
	}
	s.gone = true
	for _, c := range s.idle {
		u.shut(c)
	}
	s.idle = nil
	delete(u.servers, id)
}

// shut closes a connection; u.mu is held.
func (u *Pool) shut(c *conn) {
	u.open--
	c.Conn.Close()
}

// EvictIdle closes connections that were idle for too long, until the context ends.
func (u *Pool) EvictIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.idleFor/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		u.mu.Lock()
		u.share(time.Now())
		for _, s := range u.servers {
			n := 0
			for n < len(s.idle) && (time.Since(s.idle[n].since) > u.span || len(s.idle)-n > u.keep) {
				u.shut(s.idle[n])
				n++
			}
			s.idle = append(s.idle[:0], s.idle[n:]...)
		}
		u.mu.Unlock()
	}
}

// share looks anew at what this node's share of idle connections is, by what it has used since the
// last look; u.mu is held.
func (u *Pool) share(now time.Time) {
	f := keepalive.Fleet{Nodes: u.nodes, Endpoints: len(u.servers)}
	for _, s := range u.servers {
		if s.used || len(s.idle) > 0 {
			f.UsedEndpoints++
		}
		s.used = false
	}
	f.RequestsPerSecond = float64(u.given*max(1, u.nodes)) / max(now.Sub(u.looked).Seconds(), 1e-3)
	u.given, u.looked = 0, now
	u.keep, u.span = keepalive.MaxIdle(f), keepalive.IdleTimeout(f, u.prices, u.idleFor)
}

// take gives an idle connection, or leave to open one: nil and the server. At
// the cap it makes room at the expense of another server's idle connection.
func (u *Pool) take(id policy.EndpointID) (*conn, *server, policy.Status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil {
		return nil, nil, policy.ConnectFailed
	}
	// The one used last that has settled: what a server does with a connection
	// behind an answer, to close it or to send more than belongs to the answer,
	// takes a moment to show. A request written before that is lost, or would get
	// what belongs to the former one: nothing in an answer names its request. Where no other
	// has settled the one left is waited for, unless the server answers so fast that the wait
	// would count: to one that has just answered goes what waited for it, and a connection opened
	// each time costs both sides a handshake.
	for n := len(s.idle) - 1; n >= 0; n-- {
		c := s.idle[n]
		rested := time.Since(c.since)
		if rested < u.settle && (c.took < u.patient || n > 0 && time.Since(s.idle[n-1].since) <= u.idleFor) {
			continue
		}
		s.idle = slices.Delete(s.idle, n, n+1)
		c.began = time.Now()
		// The server closes idle connections too, and a request written to one
		// that is closed counts as one that may have run.
		if rested <= u.idleFor {
			return c, s, policy.OK
		}
		u.shut(c)
	}
	if u.open >= u.maxOpen && !u.evict() {
		return nil, nil, policy.NeverSent // nobody's fault, and nothing was sent
	}
	u.open++
	return nil, s, policy.OK
}

// evict closes the connection that is idle for longest; u.mu is held.
func (u *Pool) evict() bool {
	var from *server
	for _, s := range u.servers {
		if len(s.idle) > 0 && (from == nil || s.idle[0].since.Before(from.idle[0].since)) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	u.shut(from.idle[0])
	from.idle = from.idle[1:]
	return true
}

// put takes a connection back, for the next request if keep.
func (u *Pool) put(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.given++
	c.server.used = true
	if !keep || c.server.gone || len(c.server.idle) >= u.keep {
		u.shut(c)
		return
	}
	if cap(c.message) > keepMessage { // a hundred idle ones with a body each would be megabytes
		c.message = nil
	}
	c.used, c.since = true, time.Now()
	c.took = c.since.Sub(c.began)
	c.server.idle = append(c.server.idle, c)
}

// connect gives a connection to a server, idle or new.
func (u *Pool) connect(call *engine.Call, id policy.EndpointID) (*conn, policy.Status) {
	c, s, status := u.take(id)
	if c != nil || status != policy.OK {
		if c != nil {
			time.Sleep(u.settle - time.Since(c.since)) // less than a handshake takes
		}
		return c, status
	}
	u.mu.Lock()
	timeout := u.connectTimeout
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(call.Context(), timeout)
	defer cancel()
	nc, err := Dial(ctx, s.addr, u.tls, "http/1.1")
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, policy.ConnectFailed
	}
	return newConn(nc, s), policy.OK
}

// Dial connects to a server, with TLS and its protocol (ALPN, RFC 7301) where that is set.
func Dial(ctx context.Context, addr string, set *tls.Config, proto string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil || set == nil {
		return nc, err
	}
	set = set.Clone()
	set.NextProtos = []string{proto}
	if set.ServerName == "" {
		set.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tc := tls.Client(nc, set)
	if err := tc.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	if got := tc.ConnectionState().NegotiatedProtocol; got != proto && (proto == "h2" || got != "") {
		nc.Close()
		return nil, errors.New("httpup: the server does not speak " + proto)
	}
	return tc, nil
}

func newConn(nc net.Conn, s *server) *conn {
	c := &conn{Conn: nc, server: s, began: time.Now()}
	c.reader = bufio.NewReader(c)
	c.giveUp = func() { c.Conn.Close() }
	c.peek = func(fd uintptr) { c.silent = nothingToRead(fd) }
	if tc, ok := nc.(*tls.Conn); ok {
		nc, c.tls = tc.NetConn(), true
	}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// quiet is Quiet, with nothing made anew at each look.
func (c *conn) quiet() bool {
	return c.raw != nil && c.raw.Control(c.peek) == nil && c.silent
}

// Exchange implements engine.Exchanger.
func (u *Pool) Exchange(call *engine.Call, id policy.EndpointID, payload any, left time.Duration) engine.Result {
	o := payload.(*Request)
	started := time.Now()
	for {
		conn, status := u.connect(call, id)
		if conn == nil {
			return engine.Result{Status: status}
		}
		conn.message = o.append(conn.message[:0], left-time.Since(started))
		if (conn.used || !conn.tls) && !conn.quiet() { // closed, or out of step
			u.put(conn, false)
			if conn.used {
				continue
			}
			return engine.Result{Status: policy.ConnectFailed}
		}
		call.OnStop(conn.giveUp)
		if !call.BeginSend() {
			u.put(conn, call.ClearOnStop())
			return engine.Result{Status: policy.NeverSent}
		}
		res, keep := u.exchange(conn, o)
		going := call.ClearOnStop()
		if a, ok := res.Answer.(*Answer); ok && (a.Stream != nil || a.Tunnel != nil) {
			if !going { // given up, and closed
				a.Close()
				return engine.Result{Status: policy.Cancelled}
			}
			return res // the connection is the stream's
		}
		u.put(conn, going && keep)
		return res
	}
}

// exchange writes the request and reads the answer. The last byte of the
// request being written decides whether it may have run. It tells whether the
// connection is of use for a further request.
func (u *Pool) exchange(c *conn, o *Request) (engine.Result, bool) {
	n, err := c.Conn.Write(c.message)
	if err == nil && len(o.Body) > MaxBody {
		_, err = c.Conn.Write(o.Body)
	}
	if err != nil {
		if u.anyAnswer && bytes.Contains(c.message[:n], headEnd) { // it may act on a part of a body
			return engine.Result{Status: policy.Reset}, false
		}
		return engine.Result{Status: policy.ConnectFailed}, false // its last byte was not written
	}
	if o.Upload == nil {
		return u.receive(c, o, nil)
	}
	up := c.send(o.Upload, o.chunked(), o.StallTimeout())
	res, keep := u.receive(c, o, up)
	if a, ok := res.Answer.(*Answer); ok && a.Stream != nil {
		return res, false // goes on beside the answer
	}
	whole := up.stop(c)
	if up.client && res.Status != policy.OK { // the client's side broke: no fault of the server's
		res.Status = policy.Cancelled
	}
	return res, keep && whole
}

// NothingToRead tells that nothing can be read from a connection that is open: no
// bytes, no end.
func NothingToRead(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	// Not Read: it would wait for one that reads already
	err = raw.Control(func(fd uintptr) { nothing = nothingToRead(fd) })
	return err == nil && nothing
}

func nothingToRead(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

// hopByHop lists the headers that belong to a connection, not to a message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader takes the headers away that don't go on to the other side (RFC 9110, 7.6.1),
// and those that are written anew there. It changes what it is given.
func EndToEndHeader(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	delete(h, "Expect") // was met here
	delete(h, "Content-Length")
	return h
}
