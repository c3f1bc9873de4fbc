// Package h2client carries attempts to servers over HTTP/2. Like httpup it decides nothing, and
// nothing is sent again by itself.
package h2client

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each client connection that net/http does not offer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// h2PerServer is how many connections a server gets at most. A connection carries as
	// many attempts as the server allows; further ones serve while one ends.
	h2PerServer = 4
	// firstStreams is how many streams a new connection carries before the server has said.
	firstStreams = 100
	// h2Window is how many bytes of an answer a server may send ahead (RFC 9113, 5.2), and so
	// what a stream whose client takes nothing holds here at most.
	h2Window = 512 << 10
	// h2Ping is after how much silence, with attempts out, a server is asked for a sign of
	// life, and how long that may take.
	h2Ping = 5 * time.Second
)

// Pool is an engine.Exchanger like httpup's, over HTTP/2 (RFC 9113): a connection carries many
// attempts. What has certainly not run is told apart: a stream that the server refused
// (REFUSED_STREAM, 8.7) and one beyond the last that a GOAWAY names (6.8) may be sent again
// whatever their class; all else that ends with its connection may have run.
type Pool struct {
	options   h1client.Options
	transport *http2.Transport

	mu      sync.Mutex
	servers map[policy.EndpointID]*h2server
	open    int // connections
	maxOpen int
	timeout time.Duration
}

type h2server struct {
	addr    string
	started float64
	gone    bool // nothing new; its connections end with their last attempt
	conns   []*h2conn
	dialing chan struct{} // closed when the dial that is on has ended; nil: none is
}

type h2conn struct {
	cc    *http2.ClientConn
	idle  time.Time // since when nothing is out on it; zero: something is
	inUse int
}

// most is how many streams the server allows. Until its settings have come that is not known;
// one too many is refused then, and has not run.
func (c *h2conn) most() int {
	if n := c.cc.State().MaxConcurrentStreams; n > 0 {
		return int(n)
	}
	return firstStreams
}

// New makes a pool with no servers. Options.AnyStatus is taken as set.
func New(o h1client.Options) *Pool {
	// The window can be set by way of net/http's transport alone, which does nothing else here.
	transport, err := http2.ConfigureTransports(&http.Transport{
		DisableCompression: true, HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: h2Window},
	})
	if err != nil {
		panic(err) // only of a transport that has HTTP/2 already
	}
	transport.AllowHTTP, transport.MaxHeaderListSize = true, 64<<10
	transport.ReadIdleTimeout, transport.PingTimeout, transport.WriteByteTimeout = h2Ping, h2Ping, h1client.DefaultStallTimeout
	return &Pool{
		options: o, servers: map[policy.EndpointID]*h2server{}, maxOpen: o.MaxConnections, timeout: o.ConnectTimeout,
		transport: transport,
	}
}

// SetLimits sets what Options said of connections.
func (u *Pool) SetLimits(timeout time.Duration, most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timeout, u.maxOpen = timeout, most
}

// UpdateEndpoints takes news of the servers; whole: of all of them.
func (u *Pool) UpdateEndpoints(whole bool, servers []h1client.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[policy.EndpointID]bool{}
	for _, in := range servers {
		old := u.servers[in.ID]
		listed[in.ID] = !in.Removed
		if !in.Removed && old != nil && old.addr == in.Address && old.started == in.Incarnation {
			continue
		}
		u.drop(in.ID)
		if !in.Removed {
			u.servers[in.ID] = &h2server{addr: in.Address, started: in.Incarnation}
		}
	}
	for id := range u.servers {
		if whole && !listed[id] {
			u.drop(id)
		}
	}
}

// drop has a server's connections end as soon as nothing is out on them; u.mu is held.
func (u *Pool) drop(id policy.EndpointID) {
	s := u.servers[id]
	if s == nil {
		return
	}
	s.gone = true
	delete(u.servers, id)
	u.sweep(s, time.Time{})
}

// sweep forgets a server's connections that have ended, and ends those idle since before a
// time (all idle ones of a server that is gone); u.mu is held.
func (u *Pool) sweep(s *h2server, before time.Time) {
	kept := s.conns[:0]
	for _, c := range s.conns {
		idle := c.inUse == 0
		switch {
		case idle && (s.gone || c.idle.Before(before) || !c.cc.CanTakeNewRequest()):
			u.open--
			c.cc.Close()
		default:
			kept = append(kept, c)
		}
	}
	clear(s.conns[len(kept):])
	s.conns = kept
}

// EvictIdle ends connections that were idle for too long, until the context ends.
func (u *Pool) EvictIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.options.EndpointIdleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		u.mu.Lock()
		before := time.Now().Add(-time.Duration(h1client.IdleTimeoutFraction * float64(u.options.EndpointIdleTimeout)))
		for _, s := range u.servers {
			u.sweep(s, before)
		}
		u.mu.Unlock()
	}
}

// done gives back a place on a connection.
func (u *Pool) done(s *h2server, c *h2conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.inUse--; c.inUse == 0 {
		c.idle = time.Now()
		u.sweep(s, time.Time{})
	}
}

// connect gives a connection on which a stream is free. policy.Rejected: the server allows no
// more of them at present.
func (u *Pool) connect(call *engine.Call, id policy.EndpointID) (*h2server, *h2conn, policy.Status) {
	for {
		u.mu.Lock()
		s := u.servers[id]
		if s == nil {
			u.mu.Unlock()
			return nil, nil, policy.ConnectFailed
		}
		for _, c := range s.conns {
			// A reservation of the library's can't be given back where nothing is sent after
			// all; so what is in use is counted here.
			if c.cc.CanTakeNewRequest() && c.inUse < c.most() {
				c.inUse++
				u.mu.Unlock()
				return s, c, policy.OK
			}
		}
		wait, timeout := s.dialing, u.timeout
		if wait == nil {
			u.sweep(s, time.Time{})
			switch {
			case len(s.conns) >= h2PerServer:
				u.mu.Unlock()
				return nil, nil, policy.Rejected
			case u.open >= u.maxOpen && !u.evict():
				u.mu.Unlock()
				return nil, nil, policy.NeverSent
			}
			u.open++
			s.dialing = make(chan struct{})
		}
		u.mu.Unlock()
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-call.Context().Done():
				return nil, nil, policy.NeverSent
			}
		}
		// Others may wait for it: it does not end with the attempt that began it.
		c, err := u.dial(s.addr, timeout)
		u.mu.Lock()
		close(s.dialing)
		s.dialing = nil
		if err == nil && s.gone { // meanwhile: nobody would find it again
			c.cc.Close()
			err = errGone
		}
		if err != nil {
			u.open--
			u.mu.Unlock()
			return nil, nil, policy.ConnectFailed
		}
		s.conns = append(s.conns, c)
		u.mu.Unlock()
	}
}

var errGone = errors.New("h2up: the server is gone")

// evict ends an idle connection to any server; u.mu is held.
func (u *Pool) evict() bool {
	var from *h2server
	var oldest *h2conn
	for _, s := range u.servers {
		for _, c := range s.conns {
			if c.inUse == 0 && (oldest == nil || c.idle.Before(oldest.idle)) {
				from, oldest = s, c
			}
		}
	}
	if from == nil {
		return false
	}
	u.sweep(from, oldest.idle.Add(1))
	return true
}

func (u *Pool) dial(addr string, timeout time.Duration) (*h2conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := h1client.Dial(ctx, addr, u.options.TLS, "h2")
	if err != nil {
		return nil, err
	}
	cc, err := u.transport.NewClientConn(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &h2conn{cc: cc, idle: time.Now()}, nil
}

// Exchange implements engine.Exchanger.
func (u *Pool) Exchange(call *engine.Call, id policy.EndpointID, payload any, left time.Duration) engine.Result {
	o := payload.(*h1client.Request)
	if o.Upgrade != "" { // wants HTTP/1.1 (RFC 9113, 8.6); a connection for it alone
		return engine.Result{Status: policy.NeverSent, Final: true}
	}
	started := time.Now()
	s, c, status := u.connect(call, id)
	if status != policy.OK {
		return engine.Result{Status: status}
	}
	// An answer that goes on as a stream outlives its attempt.
	ctx, cancel := context.WithCancel(context.Background())
	x := &h2stream{pool: u, server: s, conn: c, cancel: cancel}
	call.OnStop(cancel)
	scheme := "http"
	if u.options.TLS != nil {
		scheme = "https"
	}
	req, err := request(ctx, o, scheme, left-time.Since(started))
	if err != nil || !call.BeginSend() {
		x.Close()
		return engine.Result{Status: policy.NeverSent}
	}
	resp, err := c.cc.RoundTrip(req)
	if err != nil {
		status := h2Fault(ctx, err, o)
		x.Close()
		return engine.Result{Status: status}
	}
	res := x.receive(ctx, o, resp)
	if !call.ClearOnStop() { // given up
		discard(res)
		res = engine.Result{Status: policy.Cancelled}
	}
	return res
}

// discard closes an answer that nobody gets.
func discard(res engine.Result) {
	if a, ok := res.Answer.(*h1client.Answer); ok {
		a.Close()
	}
}

// request makes what goes out.
func request(ctx context.Context, o *h1client.Request, scheme string, left time.Duration) (*http.Request, error) {
	at := &url.URL{Scheme: scheme, Host: o.Host, Opaque: o.Target}
	if strings.HasPrefix(o.Target, "//") { // Opaque would take it for a host
		var err error
		if at, err = url.ParseRequestURI(o.Target); err != nil {
			return nil, err
		}
		at.Scheme, at.Host = scheme, o.Host
	}
	h := make(http.Header, len(o.Header)+3)
	for name, values := range o.Header {
		if name != "Host" {
			h[name] = values
		}
	}
	ms := strconv.FormatInt(max(1, left.Milliseconds()), 10)
	h["X-Timeout-Ms"] = []string{ms}
	if isGRPC(h) {
		h["Grpc-Timeout"] = []string{ms + "m"}
	}
	if o.AcceptsTrailers {
		h["Te"] = []string{"trailers"}
	}
	if len(h["User-Agent"]) == 0 {
		h["User-Agent"] = []string{""} // none, rather than the library's
	}
	req := &http.Request{Method: o.Method, URL: at, Host: o.Host, Header: h, Proto: "HTTP/2.0", ProtoMajor: 2}
	switch {
	case o.Upload != nil:
		req.Body, req.ContentLength = o.Upload.Reader(), o.Length
		if len(o.TrailerNames) > 0 {
			req.Trailer = make(http.Header, len(o.TrailerNames))
			for _, name := range o.TrailerNames {
				req.Trailer[name] = nil
			}
			req.Body = &trailed{req.Body, o.Upload, req.Trailer}
		}
	case len(o.Body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(o.Body)), int64(len(o.Body))
	}
	return req.WithContext(ctx), nil
}

// trailed sets a request's trailer fields when its body has come to its end.
type trailed struct {
	io.ReadCloser
	upload *h1client.Upload
	fields http.Header
}

// Read implements io.Reader.
func (t *trailed) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF {
		for name, values := range t.upload.Trailer() {
			t.fields[name] = values
		}
	}
	return n, err
}

// h2Fault tells what the end of a stream without an answer says of the attempt.
func h2Fault(ctx context.Context, err error, o *h1client.Request) policy.Status {
	var stream http2.StreamError
	switch {
	case ctx.Err() != nil, o.Upload != nil && o.Upload.Err() != nil:
		return policy.Cancelled
	case errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream:
		return policy.Rejected
	case strings.Contains(err.Error(), "graceful shutdown GOAWAY"), strings.Contains(err.Error(), "client conn not usable"):
		return policy.NeverSent // beyond the last stream that the server takes, or not sent
	}
	return policy.Reset
}

// h2stream is an attempt whose answer has begun.
type h2stream struct {
	pool   *Pool
	server *h2server
	conn   *h2conn
	cancel context.CancelFunc
	resp   *http.Response
	start  []byte           // read already
	body   *h1client.Upload // holds what has come, where the length is not known
	reader io.Reader
	run    sync.WaitGroup
	close  sync.Once
	stall  *time.Timer
	most   time.Duration // between two parts
	ended  atomic.Bool
}

// receive gives an answer whole where it comes soon and is short, else as a stream.
func (x *h2stream) receive(ctx context.Context, o *h1client.Request, resp *http.Response) engine.Result {
	x.resp, x.reader = resp, resp.Body
	a := &h1client.Answer{Status: resp.StatusCode, Length: resp.ContentLength}
	whole, err := o.Method == http.MethodHead || resp.ContentLength == 0, error(nil)
	switch n := resp.ContentLength; {
	case whole:
	case n < 0:
		a.Body, whole, err = x.settle()
	case n <= h1client.MaxBody:
		a.Body, whole, err = x.short(int(n))
	}
	a.Header = h1client.EndToEndHeader(resp.Header)
	switch {
	case err != nil:
		status := h2Fault(ctx, err, o)
		x.Close()
		return engine.Result{Status: status}
	case whole:
		a.Trailer = resp.Trailer
		x.ended.Store(true)
		x.Close()
	case resp.StatusCode >= 500: // not worth a stream
		a.Length, a.Body = -1, nil
		x.Close()
	default:
		x.start, a.Body = a.Body, nil
		x.most = o.StallTimeout()
		x.stall = time.AfterFunc(x.most, x.cancel)
		a.Stream = x
		return engine.Result{Status: policy.OK, Answer: a}
	}
	if resp.StatusCode >= 500 {
		return engine.Result{Status: h1client.FailureStatus(resp), Answer: a}
	}
	status, final := grpcOutcome(a)
	return engine.Result{Status: status, Answer: a, Final: final}
}

// short reads a body of so many bytes for as long as they keep coming within AnswerSpan.
func (x *h2stream) short(n int) (body []byte, whole bool, err error) {
	body = make([]byte, n)
	got, began := 0, time.Now()
	for got < n {
		m, err := x.resp.Body.Read(body[got:])
		got += m
		if got < n && err != nil {
			return nil, false, err
		}
		if got < n && time.Since(began) > h1client.AnswerTransferTimeout {
			return body[:got], false, nil
		}
	}
	var end [1]byte // it, and with it the trailers, may be a frame of its own
	switch _, err = x.resp.Body.Read(end[:]); err {
	case io.EOF:
		return body, true, nil
	case nil:
		err = errLong
	}
	return nil, false, err
}

var errLong = errors.New("h2up: more than the length that was said")

// settle reads what comes at one go of a body whose length is not known.
func (x *h2stream) settle() (body []byte, whole bool, err error) {
	x.body = h1client.NewUpload(x.resp.Body, h1client.MaxBody)
	x.run.Go(func() { x.body.Run(false) })
	x.body.AwaitBufferFor(h1client.UploadBufferTimeout)
	body, whole = x.body.Complete()
	if err = x.body.Err(); err != nil || whole {
		return body, whole, err
	}
	x.reader = x.body.Reader()
	return nil, false, nil
}

// Read implements Stream.
func (x *h2stream) Read(p []byte) (int, error) {
	if len(x.start) > 0 {
		n := copy(p, x.start)
		x.start = x.start[n:]
		return n, nil
	}
	x.stall.Reset(x.most)
	n, err := x.reader.Read(p)
	x.stall.Stop() // the client's time to take it is not the server's
	if err == io.EOF {
		x.ended.Store(true)
	}
	return n, err
}

// Abort implements Stream.
func (x *h2stream) Abort() { x.cancel() }

// Trailer implements Stream.
func (x *h2stream) Trailer() http.Header { return x.resp.Trailer }

// Close implements Stream.
func (x *h2stream) Close() error {
	x.close.Do(func() {
		if x.stall != nil {
			x.stall.Stop()
		}
		if x.resp != nil {
			if !x.ended.Load() {
				x.cancel() // resets the stream, on which more may come
			}
			if x.body != nil {
				x.body.Close()
			}
			x.resp.Body.Close()
			x.run.Wait()
		}
		x.cancel()
		x.pool.done(x.server, x.conn)
	})
	return nil
}
