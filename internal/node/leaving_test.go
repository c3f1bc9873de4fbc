package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// trailingData has the data that clients have sent after a request when they disconnect. After such data the node learns of
// the disconnect only by reading the data.
var trailingData = map[string]string{
	"nothing":   "",
	"a request": "GET /read?obj=1 HTTP/1.1\r\nHost: a\r\n\r\n",
	"rubbish":   strings.Repeat("rubbish", 1000),
}

// disconnect closes the client's side of a connection and waits until the node has closed its side.
func disconnect(t *testing.T, nc net.Conn) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	nc.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if text, err := io.ReadAll(nc); len(text) > 0 {
		t.Errorf("a client that has disconnected got %q, error %v, want no response", text, err)
	}
}

// A request is not retried if its client disconnects during the backoff before the retry.
func TestLeavesInARetrysDelay(t *testing.T) {
	t.Parallel()
	for name, more := range trailingData {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			attempts := make(chan struct{}, 8)
			var list []discovery.Instance
			for i := range 3 {
				list = append(list, instanceAt(testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusInternalServerError)
					attempts <- struct{}{}
				}), fmt.Sprint("s-", i)))
			}
			d := newFakeDiscovery(t, list...)
			n := start(t, testConfig(t, d, func(file map[string]any) { // the backoff is 2.5 s with these deadlines
				file["settings"] = jsonText(strings.ReplaceAll(settingsText,
					`"DeadlineMs": 8000, "PromiseMs": 6000`, `"DeadlineMs": 60000, "PromiseMs": 40000`))
			}))
			n.waitReady(http.StatusOK)
			nc := n.dial()
			r := n.request("read")
			r.Header.Set("X-Timeout-Ms", "60000")
			if err := r.Write(nc); err != nil {
				t.Fatal(err)
			}
			io.WriteString(nc, more)
			testutil.Wait(t, attempts, "the first attempt")
			disconnect(t, nc)
			if more := len(attempts); more > 0 {
				t.Errorf("got %d further attempts, want 0", more)
			}
		})
	}
}

// The load of TestStormOfLeavingClients.
const (
	burstClients = 1000
	burstSize    = 100 // number of clients that disconnect at the same time
	// disconnectBound is the time after a client's disconnect from which on no attempt may start for the client.
	disconnectBound = 100 * time.Millisecond
)

// A thousand clients disconnect in bursts while their requests are queued for a server that hangs; some have sent further
// bytes after their requests. When the server continues, at once or later, no request is forwarded 0.1 s or more after its
// client disconnected.
func TestStormOfLeavingClients(t *testing.T) {
	t.Parallel()
	b := testutil.NewGatedBackend(t)
	d := newFakeDiscovery(t, instanceAt(b.Backend, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}
	}))
	n.waitReady(http.StatusOK)
	lateness := testutil.Lateness(t)
	rng := rand.New(rand.NewPCG(45, 1))
	queued := 0
	for burst := range burstClients / burstSize {
		queued += n.disconnectBurst(b, burst, rng)
		late := burst%2 == 0
		if late {
			time.Sleep(disconnectBound + lateness()) // the time within which attempts may still start
		}
		b.OpenGate() // the server continues with the queued requests, and then serves the request below
		if a := n.do(n.request("read")); late && a.status != http.StatusOK {
			t.Errorf("got status %d, want 200", a.status)
		} else if !late { // the connections of clients that have just disconnected may still count
			testutil.Until(t, "a request after the burst to be served", func() bool {
				return n.do(n.request("read")).status == http.StatusOK
			})
		}
		b.CloseGate()
	}
	bound := disconnectBound + lateness()
	arrived, disconnected, late := b.Counts(bound)
	if late > 0 || disconnected != burstClients || queued < burstClients/4 {
		t.Errorf("%d of %d requests were forwarded %v after their clients had disconnected, want 0; %d were queued",
			late, disconnected, bound, queued)
	}
	t.Logf("%d clients, %d queued when they disconnected, %d requests forwarded, %d of them later than %v",
		disconnected, queued, arrived, late, bound)
}

// disconnectBurst sends a burst of requests and then disconnects their clients. It returns how many clients had no response
// when they disconnected.
func (n *testNode) disconnectBurst(b *testutil.GatedBackend, burst int, rng *rand.Rand) (queued int) {
	names := []string{"nothing", "a request", "rubbish"}
	id := func(i int) string { return fmt.Sprintf("w%d-%d", burst, i) }
	var open []net.Conn
	for i := range burstSize {
		nc := n.dial()
		r := n.request("read")
		r.Header.Set("X-Request-Id", id(i))
		r.Write(nc)
		io.WriteString(nc, trailingData[names[rng.IntN(len(names))]])
		open = append(open, nc)
	}
	for i, nc := range open {
		if h1client.NothingToRead(nc) {
			queued++
		}
		b.Disconnect([]string{id(i)}, func() { nc.Close() })
	}
	return queued
}
