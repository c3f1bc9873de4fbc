package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// behind is what clients have sent after a request when they disconnect: then their disconnect is seen by nothing
// but the read of it.
var behind = map[string]string{
	"nothing": "", "a request": "GET /read?obj=1 HTTP/1.1\r\nHost: a\r\n\r\n", "rubbish": strings.Repeat("rubbish", 1000),
}

// leave ends the client's side of a connection and waits until the node has closed it.
func leave(t *testing.T, nc net.Conn) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	nc.SetReadDeadline(time.Now().Add(testutil.Patience))
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

// A thousand clients disconnect in bursts while their requests are queued for a server that hangs, with bytes after
// their requests and without. Once it continues, at once or later, none is forwarded 0.1 s after its client
// disconnected.
func TestStormOfLeavingClients(t *testing.T) {
	t.Parallel()
	const clients, burst, rule = 1000, 100, 100 * time.Millisecond
	var mu sync.Mutex
	gate := make(chan struct{})
	left, sent := map[string]time.Time{}, map[string]time.Time{}
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		sent[r.Header.Get("X-Request-Id")] = time.Now()
		goes := gate
		mu.Unlock()
		select {
		case <-goes:
			testutil.OK(w, r)
		case <-r.Context().Done():
		}
	})
	d := newFakeDiscovery(t, instanceAt(b, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}
	}))
	n.waitReady(http.StatusOK)
	lateness := testutil.Lateness(t)
	rng := rand.New(rand.NewPCG(45, 1))
	names := []string{"nothing", "a request", "rubbish"}
	waited := 0
	for wave := range clients / burst {
		var open []net.Conn
		for i := range burst {
			nc := n.dial()
			r := n.request("read")
			r.Header.Set("X-Request-Id", fmt.Sprintf("w%d-%d", wave, i))
			r.Write(nc)
			io.WriteString(nc, behind[names[rng.IntN(len(names))]])
			open = append(open, nc)
		}
		for i, nc := range open {
			if nothingCame(nc) {
				waited++
			}
			nc.Close()
			mu.Lock()
			left[fmt.Sprintf("w%d-%d", wave, i)] = time.Now()
			mu.Unlock()
		}
		late := wave%2 == 0
		if late {
			time.Sleep(rule + lateness()) // the time that the rule allows
		}
		close(gate) // queued requests continue, and this one after them
		if a := n.do(n.request("read")); late && a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		} else if !late { // the connections of those that have just disconnected may still count
			testutil.Until(t, "a request after them to be served", func() bool {
				return n.do(n.request("read")).status == http.StatusOK
			})
		}
		mu.Lock()
		gate = make(chan struct{})
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	late, bound := 0, rule+lateness()
	for id, at := range left {
		if s, ok := sent[id]; ok && s.Sub(at) > bound {
			late++
		}
	}
	if late > 0 || len(left) != clients || waited < clients/4 {
		t.Errorf("%d of %d were forwarded %v after their clients had disconnected, %d were queued",
			late, len(left), bound, waited)
	}
	t.Logf("%d clients, %d queued when they disconnected, %d had been forwarded, %d later than %v",
		len(left), waited, len(sent), late, bound)
}

// nothingCame reports whether a client has no response yet.
func nothingCame(nc net.Conn) bool { return h1client.NothingToRead(nc) }
