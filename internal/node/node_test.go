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
	r.Header.Set("User-Agent", "") // none: the node must not add its own
	a := n.do(r)
	if a.status != http.StatusOK || a.body != "rooms" ||
		a.header.Get("X-Kept") != "yes" || a.header.Get("Keep-Alive") != "" {
		t.Errorf("answer %+v", a)
	}
	got := testutil.Wait(t, b.Requests, "the request")
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/push?obj=7f3a%2F9c&z" || string(body) != `{"x":1}` {
		t.Errorf("the server got %s %s %q", got.Method, got.RequestURI, body)
	}
	for _, name := range []string{"X-Request-ID", "Idempotency-Key", "X-Tenant-Id"} {
		if got.Header.Get(name) != r.Header.Get(name) {
			t.Errorf("%s: %q became %q", name, r.Header.Get(name), got.Header.Get(name))
		}
	}
	if got.Header.Get("X-Hop") != "" {
		t.Error("a hop-by-hop header went on")
	}
	if got.Header.Get("User-Agent") != r.Header.Get("User-Agent") {
		t.Errorf("User-Agent %q", got.Header.Get("User-Agent"))
	}
	if left, err := strconv.Atoi(got.Header.Get("X-Timeout-Ms")); err != nil || left <= 0 || left >= 8000 {
		t.Errorf("X-Timeout-Ms %q", got.Header.Get("X-Timeout-Ms"))
	}
}

func TestClientDisconnects(t *testing.T) {
	t.Parallel()
	left := make(chan struct{}, 1)
	b := testutil.NewBackend(t, silent(left))
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
	testutil.Wait(t, left, "the attempt to be given up")
}

// A client that sends requests but reads no response must not occupy its connection past
// its deadline: the node closes it.
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
		t.Error("the node keeps the connection")
	}
}

// patientParts is how many times unsolicitedResponsePeriod an exchange takes whose connection is waited for.
const patientParts = 3
