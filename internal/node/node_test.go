package node

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// Requests and responses are forwarded unchanged, except for hop-by-hop headers, which are removed, and X-Timeout-Ms, which
// is reduced to the time remaining.
func TestServesUnchanged(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Keep-Alive", "timeout=5")
		io.WriteString(w, "rooms")
	})
	n, _ := startReady(t, b)
	r := n.request("push")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("User-Agent", "") // disables User-Agent; the node must not add one of its own
	a := n.do(r)
	if a.status != http.StatusOK || a.body != "rooms" ||
		a.header.Get("X-Kept") != "yes" || a.header.Get("Keep-Alive") != "" {
		t.Errorf("got response %+v, want status 200, body \"rooms\", X-Kept and no Keep-Alive", a)
	}
	got := testutil.Wait(t, b.Requests, "the request")
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/push?obj=7f3a%2F9c&z" || string(body) != `{"x":1}` {
		t.Errorf("the server got %s %s %q, want the client's method, target and body", got.Method, got.RequestURI, body)
	}
	for _, name := range []string{"X-Request-ID", "Idempotency-Key", "X-Tenant-Id"} {
		if got.Header.Get(name) != r.Header.Get(name) {
			t.Errorf("%s: the client sent %q, the server got %q", name, r.Header.Get(name), got.Header.Get(name))
		}
	}
	if got.Header.Get("X-Hop") != "" {
		t.Error("a hop-by-hop header was forwarded")
	}
	if got.Header.Get("User-Agent") != r.Header.Get("User-Agent") {
		t.Errorf("got User-Agent %q, want none", got.Header.Get("User-Agent"))
	}
	if left, err := strconv.Atoi(got.Header.Get("X-Timeout-Ms")); err != nil || left <= 0 || left >= 8000 {
		t.Errorf("got X-Timeout-Ms %q, want more than 0 and less than 8000", got.Header.Get("X-Timeout-Ms"))
	}
}

// When a client disconnects, the attempt in flight is cancelled.
func TestClientDisconnects(t *testing.T) {
	t.Parallel()
	disconnected := make(chan struct{}, 1)
	b := testutil.NewBackend(t, neverRespond(disconnected))
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.request("read").Write(nc); err != nil {
		t.Fatal(err)
	}
	testutil.Wait(t, b.Requests, "the request")
	nc.Close()
	testutil.Wait(t, disconnected, "the attempt to be cancelled")
}

// A client that sends requests but reads no response must not occupy its connection beyond the deadline: the node closes the
// connection.
func TestClientReadsNothing(t *testing.T) {
	t.Parallel()
	text := strings.Repeat("x", h1client.MaxBody)
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	n, _ := startReady(t, b)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	for err == nil {
		r := n.request("read")
		r.Header.Set("X-Timeout-Ms", "1000")
		err = r.Write(nc)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the node does not close the connection")
	}
}

// slowExchangeFactor is the duration of an exchange, in multiples of h1client.ReuseDelay, after which the node waits to
// reuse the connection instead of opening another one.
const slowExchangeFactor = 3
