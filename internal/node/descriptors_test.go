package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

// hangingDiscovery is a fakeDiscovery that can become unresponsive: it then accepts calls and sends no response.
type hangingDiscovery struct {
	*fakeDiscovery
	hanging   atomic.Bool
	hungCalls chan struct{} // receives a token when a call starts that gets no response
}

func newHangingDiscovery(t *testing.T, list ...discovery.Instance) *hangingDiscovery {
	d := &hangingDiscovery{fakeDiscovery: newFakeDiscovery(t, list...), hungCalls: make(chan struct{}, 1)}
	inner := d.Config.Handler
	d.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.hanging.Load() {
			select {
			case d.hungCalls <- struct{}{}:
			default:
			}
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	})
	return d
}

// childNode is a node in a process of its own, whose number of descriptors the system limits.
type childNode struct {
	*testNode
	process *os.Process
	logs    *testutil.Logs
}

func startChild(t *testing.T, mode, discovery string, sockets int) *childNode {
	t.Helper()
	folder := t.TempDir()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"settings": json.RawMessage(strings.Replace(settingsText, "pushed", mode, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	itself, env := testutil.SelfCommand()
	shell := []string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets)}
	cmd := exec.Command("/bin/sh", append(shell, itself...)...)
	cmd.Env = append(append(os.Environ(), env...), "BALANCER_CONFIG="+path, "TMPDIR="+folder)
	logs := testutil.NewLogs(t)
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Wait()
	})
	_, addr, _ := strings.Cut(strings.TrimSpace(logs.Wait("INFO serving")), "addr=")
	n := &childNode{&testNode{t: t, addr: addr}, cmd.Process, logs}
	n.waitReadyAlone()
	return n
}

// descriptors returns the number of descriptors that the process has open.
func (c *childNode) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	return len(list)
}

// occupyConnections has a number of clients connect, send one request or none, and stay connected. A client whose connection
// is closed connects again, until ctx is done. answered counts the requests that the node has answered. wait waits until all
// clients have ended.
func occupyConnections(ctx context.Context, n *childNode, clients int, answered *atomic.Int64) (wait func()) {
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				nc, err := net.Dial("tcp", n.addr)
				if err != nil {
					return
				}
				unhook := context.AfterFunc(ctx, func() { nc.Close() })
				if i%4 > 0 {
					r := n.request([]string{"read", "pay"}[i%4%2]) // class "read" is answered, class "pay" hangs
					r.Write(nc)
					if _, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil {
						answered.Add(1)
					}
				}
				io.Copy(io.Discard, nc) // returns when the node closes the connection
				unhook()
				nc.Close()
			}
		})
	}
	return all.Wait
}

// While the discovery service is unresponsive, idle clients use all descriptors for clients, and servers that hang use all
// descriptors for endpoints. When the discovery service returns, the node must still be able to call it and apply its list,
// since descriptors are reserved for that. The system's limit of descriptors is as low as the node's.
func TestCrowdWhileDiscoveryIsAway(t *testing.T) {
	t.Parallel()
	const sockets = 64
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			var list, drained []discovery.Instance
			for i := range 12 { // enough servers to use all connections that the node may have to endpoints
				b := testutil.NewBackend(t, testutil.OK)
				b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost { // a request of class "pay", which hangs
						select {
						case <-hold:
						case <-r.Context().Done():
						}
					}
					testutil.OK(w, r)
				})
				list = append(list, instanceAt(b, fmt.Sprint("s-", i)))
				drained = append(drained, draining(list[i]))
			}
			fresh := testutil.NewBackend(t, testutil.OK)
			d := newHangingDiscovery(t, list...)
			n := startChild(t, mode, d.Listener.Addr().String(), sockets)
			d.hanging.Store(true)
			d.CloseClientConnections()
			ctx, stop := context.WithCancel(t.Context())
			var answered atomic.Int64
			waitForClients := occupyConnections(ctx, n, 2*sockets, &answered)
			defer waitForClients()
			defer close(hold)
			defer stop()
			maxOpen := 0
			testutil.Until(t, "the clients to use all descriptors", func() bool {
				maxOpen = max(maxOpen, n.descriptors())
				return answered.Load() > 2*sockets && maxOpen >= sockets-ownDescriptors
			})
			testutil.Wait(t, d.hungCalls, "a call without a response")
			// The calls to the discovery service need further descriptors, as do those to another address after SIGHUP.
			calls := discovery.PushedTiming(0).MaxCalls
			if maxOpen+calls > sockets || strings.Contains(n.logs.String(), syscall.EMFILE.Error()) {
				t.Errorf("%d of %d descriptors were open: too few are left for %d calls to discovery", maxOpen, sockets, calls)
			}
			d.hanging.Store(false)
			back := time.Now()
			d.change(t, func() { d.list = append(drained, instanceAt(fresh, "s-new")) })
			t.Logf("the list was updated %v after discovery returned; at most %d of %d descriptors were open",
				time.Since(back), maxOpen, sockets)
			testutil.Wait(t, fresh.Requests, "a request at the new server")
		})
	}
}
