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

// lostDiscovery is a registryStub that can become unresponsive: it accepts calls and sends no response.
type lostDiscovery struct {
	*fakeDiscovery
	silent atomic.Bool
	begun  chan struct{} // gets a token when a call gets no response
}

func newLostDiscovery(t *testing.T, list ...discovery.Instance) *lostDiscovery {
	d := &lostDiscovery{fakeDiscovery: newFakeDiscovery(t, list...), begun: make(chan struct{}, 1)}
	inner := d.Config.Handler
	d.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.silent.Load() {
			select {
			case d.begun <- struct{}{}:
			default:
			}
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	})
	return d
}

// child is a node in a process of its own, whose descriptors the system limits.
type child struct {
	*running
	process *os.Process
	logs    *testutil.Logs
}

func startChild(t *testing.T, mode, discovery string, sockets int) *child {
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
	n := &child{&running{t: t, addr: addr}, cmd.Process, logs}
	n.waitReadyAlone()
	return n
}

// descriptors returns how many descriptors the process has open.
func (c *child) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	return len(list)
}

// crowdIn has a number of clients connect, send one request or none, and stay; those whose connection is closed
// connect again, until the end of ctx. It counts the requests that the node has answered.
func crowdIn(ctx context.Context, n *child, clients int, answered *atomic.Int64) (gone func()) {
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
					r := n.request([]string{"read", "pay"}[i%4%2]) // read is answered, pay hangs
					r.Write(nc)
					if _, err := http.ReadResponse(bufio.NewReader(nc), r); err == nil {
						answered.Add(1)
					}
				}
				io.Copy(io.Discard, nc) // until the node closes it
				unhook()
				nc.Close()
			}
		})
	}
	return all.Wait
}

// Idle clients use the descriptors while discovery is unavailable, and servers that hang the others. When discovery
// returns the node reaches it all the same, and applies its list: descriptors are reserved for that. The system's own
// limit is as low as the node's.
func TestCrowdWhileDiscoveryIsAway(t *testing.T) {
	t.Parallel()
	const sockets = 64
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			var list, drained []discovery.Instance
			for i := range 12 { // enough for all connections that the node may have to servers
				b := testutil.NewBackend(t, testutil.OK)
				b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost { // hangs
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
			d := newLostDiscovery(t, list...)
			n := startChild(t, mode, d.Listener.Addr().String(), sockets)
			d.silent.Store(true)
			d.CloseClientConnections()
			ctx, stop := context.WithCancel(t.Context())
			var answered atomic.Int64
			gone := crowdIn(ctx, n, 2*sockets, &answered)
			defer gone()
			defer close(hold)
			defer stop()
			most := 0
			testutil.Until(t, "the crowd to be in", func() bool {
				most = max(most, n.descriptors())
				return answered.Load() > 2*sockets && most >= sockets-ownDescriptors
			})
			testutil.Wait(t, d.begun, "a call without a response")
			// The calls to one discovery service need descriptors besides, as do those to another one after SIGHUP.
			calls := discovery.PushedTiming(0).MaxCalls
			if most+calls > sockets || strings.Contains(n.logs.String(), syscall.EMFILE.Error()) {
				t.Errorf("%d of %d descriptors were open: none are reserved for %d calls", most, sockets, calls)
			}
			d.silent.Store(false)
			back := time.Now()
			d.change(t, func() { d.list = append(drained, instanceAt(fresh, "s-new")) })
			t.Logf("updated %v after discovery's return, %d of %d descriptors were open at most",
				time.Since(back), most, sockets)
			testutil.Wait(t, fresh.Requests, "a request at the new server")
		})
	}
}
