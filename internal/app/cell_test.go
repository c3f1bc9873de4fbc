package app

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// cell is one pair of sides, with the program between them.
type cell struct {
	front, back webpeer.Protocol
	addr, url   string // of the program
	listeners   *Listeners
	client      *http.Client
	peer        *webpeer.Peer // nil: the servers are others
	app         *App
}

// matrixProgram has a latency objective that no busy machine misses, and answers have their full weight up to the
// deadline: a request is sent, and retried, where an answer would come in time by the latencies learnt so far. What the
// matrix checks does not depend on time.
const matrixProgram = `[files]
clusters = "clusters"
max_removed_share = 1
[listen]
address = "127.0.0.1:0"
max_body_mb = 16
[limits]
attempts = 3
[[class]]
name = "read"
effect = "safe"
deadline = "20s"
aim = "5s"
late_worth = 1
[[class]]
name = "pay"
effect = "unsafe"
deadline = "20s"
aim = "5s"
late_worth = 1
[[host]]
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// newCell returns a cell with two servers of its own.
func newCell(
	t testing.TB, front, back webpeer.Protocol, keys *tlskeys.Store, authority *keymaker.Authority,
) *cell {
	t.Helper()
	p, err := webpeer.Start(back, keys.ServerConfig(tlskeys.ClientAuth{}, back.ALPN()), 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	c := newCellTo(t, front, back, keys, authority, config.Listener{HTTP2: 128}, p.Addrs...)
	c.peer = p
	return c
}

// newCellTo returns a cell with other servers, and with a listener's bounds where they differ. keys and authority may
// be nil where neither side has TLS.
func newCellTo(
	t testing.TB, front, back webpeer.Protocol, keys *tlskeys.Store, authority *keymaker.Authority,
	listener config.Listener, addrs ...string,
) *cell {
	t.Helper()
	c := &cell{front: front, back: back}
	p := parse(t, matrixProgram)
	logs := testutil.DiscardLogger // a fuzz target has no log of its own
	if _, fuzz := t.(*testing.F); !fuzz {
		logs = testutil.Log(t)
	}
	c.app = newApp(t, snapshot(p, cellCluster(back, addrs)), Options{Seed: 1, Log: logs, Keys: keys})
	listener.TLS, listener.Address = front.TLS, "127.0.0.1:0"
	listener.Connections, listener.NewConnections, listener.MaxBody = 1024, 256, p.Listener.MaxBody
	c.listeners = openListeners(t, c.app, listener)
	c.addr = c.listeners.Addr("").String()
	c.url = "http://" + c.addr
	if front.TLS {
		c.url = "https://" + c.addr
	}
	c.client = newCellClient(t, front, authority)
	return c
}

// cellCluster returns the cluster rooms with servers that speak a protocol.
func cellCluster(back webpeer.Protocol, addrs []string) *cluster.Config {
	var list []cluster.Endpoint
	for i, a := range addrs {
		list = append(list, cluster.Endpoint{ID: fmt.Sprint(i), Address: a, Weight: 1})
	}
	c := rooms(list...)
	c.Transport.HTTP2 = back.HTTP2
	c.Limits.ConnectTimeout = testutil.WaitTimeout // longer than any busy machine takes
	if back.TLS {
		c.Transport.TLS = &cluster.TLS{Roots: "ca", ServerName: "peer.test"}
	}
	return c
}

// newCellClient returns a client that speaks a protocol and follows no redirects.
func newCellClient(t testing.TB, front webpeer.Protocol, authority *keymaker.Authority) *http.Client {
	transport := &http.Transport{
		Protocols:             front.HTTPProtocols(),
		MaxIdleConnsPerHost:   16,
		DisableCompression:    true,
		ExpectContinueTimeout: testutil.WaitTimeout,
	}
	if authority != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: authority.Pool(), ServerName: "front.test"}
	}
	t.Cleanup(transport.CloseIdleConnections)
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Timeout: testutil.WaitTimeout, Transport: transport, CheckRedirect: noRedirects}
}

// exchange sends a request and returns the complete answer. do is what the server is to do (webpeer); length is the
// body's, -1 if unknown; fields are names and values in turn.
func (c *cell) exchange(
	method, path, do string, body io.Reader, length int64, fields ...string,
) (*http.Response, []byte, error) {
	r, err := http.NewRequest(method, c.url+path, body)
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		r.ContentLength = length
	}
	r.Header.Set("X-Do", do)
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Add(fields[i], fields[i+1])
	}
	if host := r.Header.Get("Host"); host != "" {
		r.Host = host
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, text, err
}

// matrixKeys makes keys for both sides.
func matrixKeys(t testing.TB) (*tlskeys.Store, *keymaker.Authority) {
	t.Helper()
	authority, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for _, name := range []string{"front.test", "peer.test"} {
		if err := authority.Write(folder, name, name, "127.0.0.1"); err != nil {
			t.Fatal(err)
		}
	}
	keys, err := tlskeys.Open(folder, "", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	return keys, authority
}
