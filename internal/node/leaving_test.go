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

// behind is what clients have sent behind a request when they leave: nothing else looks out for their
// end then.
var behind = map[string]string{"nothing": "", "a request": "GET /read?obj=1 HTTP/1.1\r\nHost: a\r\n\r\n", "rubbish": strings.Repeat("rubbish", 1000)}

// leave ends the client's side of a connection and waits until the node has given it up.
func leave(t *testing.T, nc net.Conn) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	nc.SetReadDeadline(time.Now().Add(testutil.Patience))
	if text, err := io.ReadAll(nc); len(text) > 0 {
		t.Errorf("%q, %v: a client that has left got an answer", text, err)
	}
}

// A request whose client leaves while it waits for a further attempt is not sent again.
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
			d := newRegistry(t, list...)
			n := start(t, testConfig(t, d, func(file map[string]any) { // a delay of 2.5 s
				file["settings"] = jsonText(strings.ReplaceAll(settingsText, `"DeadlineMs": 8000, "PromiseMs": 6000`, `"DeadlineMs": 60000, "PromiseMs": 40000`))
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

// A thousand clients leave in bursts while their requests wait behind a server that stands still,
// with bytes behind them and without. Then it goes on, at once or later: none is sent on 0.1 s after its
// client left.
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
	d := newRegistry(t, instanceAt(b, "s-0"))
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
			time.Sleep(rule + lateness()) // the rule's own time
		}
		close(gate) // what waits goes on, and this one behind it
		if a := n.do(n.request("read")); late && a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		} else if !late { // it may find the places of those that have just left still taken
			testutil.Until(t, "one behind them to be served", func() bool { return n.do(n.request("read")).status == http.StatusOK })
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
		t.Errorf("%d of %d were sent on %v after their clients had left, %d waited", late, len(left), bound, waited)
	}
	t.Logf("%d clients, %d waited when they left, %d had been sent on, %d later than %v", len(left), waited, len(sent), late, bound)
}

// nothingCame tells that a client has no answer yet.
func nothingCame(nc net.Conn) bool { return h1client.Quiet(nc) }
