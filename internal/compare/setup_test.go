package compare

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// Limits and buffer sizes of both proxies. The limits are large enough not to affect the results.
const (
	maxIdleConns        = 4096
	maxIdleConnsPerHost = 1024
	http2Streams        = 250
	transportBuffer     = 4 << 10  // bytes
	copyBuffer          = 32 << 10 // bytes
)

// tlsServerName is the name in the certificate of all servers and proxies.
const tlsServerName = "side.test"

// setup holds the HTTP version that a proxy uses with clients and servers, and whether these connections use TLS. The zero
// value is HTTP/1.1 without TLS.
type setup struct {
	webpeer.Protocol
	keys      *tlskeys.Store
	authority *keymaker.Authority
}

// startServer starts an HTTP server and returns its address.
func (s *setup) startServer(tb testing.TB, h http.Handler) (addr string) {
	l := testutil.Listen(tb)
	server := &http.Server{
		Handler: h, Protocols: s.HTTPProtocols(),
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: http2Streams},
	}
	if s.TLS {
		server.TLSConfig = s.keys.ServerConfig(tlskeys.ClientAuth{}, s.ALPN())
		go server.ServeTLS(l, "", "")
	} else {
		go server.Serve(l)
	}
	tb.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// newTransport returns a transport for clients and for the reverse proxy.
func (s *setup) newTransport() *http.Transport {
	t := &http.Transport{
		Protocols: s.HTTPProtocols(), MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression: true, WriteBufferSize: transportBuffer, ReadBufferSize: transportBuffer,
	}
	if s.TLS {
		t.TLSClientConfig = &tls.Config{RootCAs: s.authority.Pool(), ServerName: tlsServerName}
	}
	return t
}

func (s *setup) scheme() string {
	if s.TLS {
		return "https"
	}
	return "http"
}

const programSettings = `[listen]
address = "127.0.0.1:0"
connections = 2048
http2_streams = 250
[upstream]
connections = 4096
[files]
clusters = "none"
[[class]]
name = "read"
effect = "safe"
deadline = "60s"
aim = "5s"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "c"
`

// startProgram starts the load balancer in front of servers and returns its address.
func (s *setup) startProgram(tb testing.TB, addrs []string) string {
	program, err := config.ParseProgram("compare.toml", []byte(programSettings))
	if err != nil {
		tb.Fatal(err)
	}
	version := &cluster.Version{Clusters: map[string]*cluster.Config{"c": s.cluster("c", addrs)}}
	a, err := app.New(&files.Configuration{Program: program, Version: version},
		app.Options{Seed: 1, Log: testutil.DiscardLogger, Keys: s.keys})
	if err != nil {
		tb.Fatal(err)
	}
	settings := program.Listener
	settings.TLS = s.TLS
	l := testutil.Listen(tb)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.ServeListener(ctx, l, settings) })
	tb.Cleanup(func() {
		stop()
		running.Wait()
		a.Close()
	})
	return l.Addr().String()
}

// cluster returns the configuration of a cluster of servers.
func (s *setup) cluster(name string, addrs []string) *cluster.Config {
	c := &cluster.Config{Name: name, ShrinkTo: cluster.ShrinkUnspecified}
	c.Transport.HTTP2 = s.HTTP2
	if s.TLS {
		c.Transport.TLS = &cluster.TLS{ServerName: tlsServerName, Roots: "ca"}
	}
	for i, addr := range addrs {
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: addr, Weight: 1})
	}
	return c
}

// startReverseProxy starts an httputil.ReverseProxy in front of servers and returns its address.
func (s *setup) startReverseProxy(tb testing.TB, addrs []string) string {
	var next atomic.Uint32
	transport := s.newTransport()
	tb.Cleanup(transport.CloseIdleConnections)
	return s.startServer(tb, &httputil.ReverseProxy{
		Transport: transport, BufferPool: &bufferPool{},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: s.scheme(), Host: addrs[int(next.Add(1))%len(addrs)]})
			r.SetXForwarded()
		},
	})
}

// bufferPool is the buffer pool of the reverse proxy.
type bufferPool struct{ pool sync.Pool }

// Get implements httputil.BufferPool.
func (b *bufferPool) Get() []byte {
	if buffer, ok := b.pool.Get().(*[]byte); ok {
		return *buffer
	}
	return make([]byte, copyBuffer)
}

// Put implements httputil.BufferPool.
func (b *bufferPool) Put(buffer []byte) { b.pool.Put(&buffer) }
