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

// behind is what clients have sent after a request when they disconnect: then their disconnect is seen by nothing
// but the read of it.
var behind = map[string]string{
	"nothing":   "",
	"a request": "GET /read?obj=1 HTTP/1.1\r\nHost: a\r\n\r\n",
	"rubbish":   strings.Repeat("rubbish", 1000),
}

// leave ends the client's side of a connection and waits until the node has closed it.
func leave(t *testing.T, nc net.Conn) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	nc.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	if text, err := io.ReadAll(nc); len(text) > 0 {
		t.Errorf("%q, %v: a response to a client that disconnected", text, err)
	}
}

// A request whose client disconnects in a retry's backoff is not sent again.
func TestLeavesInARetrysDelay(t *testing.T) {
	t.Parallel()
	for name, more := range behind {
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
			n := start(t, testConfig(t, d, func(file map[string]any) { // a backoff of 2.5 s
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
			leave(t, nc)
			if more := len(attempts); more > 0 {
				t.Errorf("%d further attempts", more)
			}
		})
	}
}

// Load of TestStormOfLeavingClients.
const (
	stormClients = 1000
	stormBurst   = 100 // clients that disconnect at once
	// disconnectBound is the time after a disconnect at which no attempt may begin for the client.
	disconnectBound = 100 * time.Millisecond
)

// A thousand clients disconnect in bursts while their requests are queued for a server that hangs, with bytes after
// their requests and without. Once it continues, at once or later, none is forwarded 0.1 s after its client
// disconnected.
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
	for wave := range stormClients / stormBurst {
		queued += n.leaveInBurst(b, wave, rng)
		late := wave%2 == 0
		if late {
			time.Sleep(disconnectBound + lateness()) // the time that the rule allows
		}
		b.OpenGate() // queued requests continue, and this one after them
		if a := n.do(n.request("read")); late && a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		} else if !late { // the connections of those that have just disconnected may still count
			testutil.Until(t, "a request after them to be served", func() bool {
				return n.do(n.request("read")).status == http.StatusOK
			})
		}
		b.CloseGate()
	}
	bound := disconnectBound + lateness()
	arrived, disconnected, late := b.Counts(bound)
	if late > 0 || disconnected != stormClients || queued < stormClients/4 {
		t.Errorf("%d of %d were forwarded %v after their clients had disconnected, %d were queued",
			late, disconnected, bound, queued)
	}
	t.Logf("%d clients, %d queued when they disconnected, %d had been forwarded, %d later than %v",
		disconnected, queued, arrived, late, bound)
}

// leaveInBurst sends requests and then disconnects their clients. It returns how many had no response by then.
func (n *running) leaveInBurst(b *testutil.GatedBackend, wave int, rng *rand.Rand) (queued int) {
	names := []string{"nothing", "a request", "rubbish"}
	id := func(i int) string { return fmt.Sprintf("w%d-%d", wave, i) }
	var open []net.Conn
	for i := range stormBurst {
		nc := n.dial()
		r := n.request("read")
		r.Header.Set("X-Request-Id", id(i))
		r.Write(nc)
		io.WriteString(nc, behind[names[rng.IntN(len(names))]])
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
