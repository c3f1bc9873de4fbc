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
	front, back webpeer.Wire
	addr, url   string
	listeners   *Listeners
	client      *http.Client
	peer        *webpeer.Peer
	app         *App
}

// matrixProgram has an aim that no busy machine misses, and answers keep their worth up to the deadline: a request
// is sent, and sent again, where an answer would come in time, as what was learnt of latencies tells. What the matrix
// holds is no matter of time. So is the time for a connection.
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

func newCell(t testing.TB, front, back webpeer.Wire, keys *tlskeys.Store, authority *keymaker.Authority) *cell {
	t.Helper()
	p, err := webpeer.Start(back, keys.Server(tlskeys.Clients{}, back.ALPN()), 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	c := newCellTo(t, front, back, keys, authority, config.Listener{HTTP2: 128}, p.Addrs...)
	c.peer = p
	return c
}

// newCellTo is newCell before other servers, with a listener's bounds where they differ.
func newCellTo(t testing.TB, front, back webpeer.Wire, keys *tlskeys.Store, authority *keymaker.Authority, set config.Listener, addrs ...string) *cell {
	t.Helper()
	c := &cell{front: front, back: back}
	var list []cluster.Endpoint
	for i, a := range addrs {
		list = append(list, cluster.Endpoint{ID: fmt.Sprint(i), Address: a, Weight: 1})
	}
	given := rooms(list...)
	given.Transport.HTTP2 = back.HTTP2
	given.Bounds.ConnectTimeout = testutil.Patience
	if back.TLS {
		given.Transport.TLS = &cluster.TLS{Roots: "ca", Name: "peer.test"}
	}
	p := parse(t, matrixProgram)
	logs := testutil.Quiet // a fuzz target has no log of its own
	if _, fuzz := t.(*testing.F); !fuzz {
		logs = testutil.Log(t)
	}
	var err error
	if c.app, err = New(snapshot(p, given), Options{Seed: 1, Log: logs, Keys: keys}); err != nil {
		t.Fatal(err)
	}
	set.TLS, set.Address, set.Connections, set.NewConnections, set.MaxBody = front.TLS, "127.0.0.1:0", 1024, 256, p.Listener.MaxBody
	c.listeners = c.app.NewListeners()
	if err := c.listeners.Apply([]config.Listener{set}); err != nil {
		t.Fatal(err)
	}
	scheme := "http"
	if front.TLS {
		scheme = "https"
	}
	c.addr = c.listeners.Addr("").String()
	c.url = scheme + "://" + c.addr
	transport := &http.Transport{
		Protocols: front.Protocols(), MaxIdleConnsPerHost: 16, DisableCompression: true, ExpectContinueTimeout: testutil.Patience,
	}
	if authority != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: authority.Pool(), ServerName: "front.test"}
	}
	c.client = &http.Client{Timeout: testutil.Patience, Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		c.listeners.Close()
		c.app.Close()
	})
	return c
}

// ask sends a request and gives the whole answer.
func (c *cell) ask(method, path, do string, body io.Reader, length int64, fields ...string) (*http.Response, []byte, error) {
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
