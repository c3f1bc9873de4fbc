package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/discovery"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/platform"
	"yokestall/internal/testutil"
)

// startWithAdmin starts a node with an admin API and waits until it is ready.
func startWithAdmin(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) *running {
	t.Helper()
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["mgmt"] = "127.0.0.1:0"
		if change != nil {
			change(file)
		}
	}))
	n.waitReady(http.StatusOK)
	return n
}

// command sends one command to the admin API and returns the response.
func (n *running) command(text string) string {
	n.t.Helper()
	answer, err := adminapi.Send(n.node.adminListener.Addr().String(), text, testutil.WaitTimeout)
	if err != nil {
		n.t.Fatalf("%s: %v", text, err)
	}
	return answer
}

// commandOK sends a command that must succeed.
func (n *running) commandOK(text string) {
	n.t.Helper()
	if got := n.command(text); !strings.HasPrefix(got, "+OK") {
		n.t.Fatalf("%s: %s", text, got)
	}
}

func TestDetachAndAttach(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t, instanceAt(a, "s-0"), instanceAt(b, "s-1"))
	n := startWithAdmin(t, d, nil)
	n.commandOK("PING")
	for _, text := range []string{"DETACH s-9", "ATTACH s-9", "DETACH", "REJOIN x"} {
		if got := n.command(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %s", text, got)
		}
	}
	n.commandOK("DETACH s-0")
	n.commandOK("DETACH s-0")
	d.change(t, func() { d.list = d.list[1:] }) // it leaves the list
	n.commandOK("DETACH s-0")                   // and is still known
	d.change(t, func() { d.list = append(d.list, instanceAt(a, "s-0")) })
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
	if len(a.Requests) > 0 {
		t.Errorf("%d requests at a detached server that is back on the list", len(a.Requests))
	}
	n.commandOK("ATTACH s-0") // one for two of DETACH
	testutil.Until(t, "a request at the reattached server", func() bool {
		n.do(n.request("read"))
		for len(b.Requests) > 0 {
			<-b.Requests
		}
		return len(a.Requests) > 0
	})
	n.commandOK("DETACH s-0")
	n.commandOK("DETACH s-1")
	r := n.do(n.request("read"))
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.took > time.Second {
		t.Errorf("with all servers detached: status %d, Retry-After %q, after %v",
			r.status, r.header.Get("Retry-After"), r.took)
	}
}

// Without an endpoint list no id is known, and no clients are accepted.
func TestCommandsWithoutList(t *testing.T) {
	t.Parallel()
	d := newFakeDiscovery(t)
	d.set(func() { d.down = true })
	n := start(t, testConfig(t, d, func(file map[string]any) { file["mgmt"] = "127.0.0.1:0" }))
	for _, text := range []string{"PING", "DETACH s-0"} {
		if got := n.command(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %s", text, got)
		}
	}
	n.commandOK("LAMEDUCK")
	n.commandOK("REJOIN")
}

// Servers are detached and reattached under traffic: no request may reach one between the end of the grace
// after DETACH was answered and ATTACH.
func TestDetachUnderTraffic(t *testing.T) {
	t.Parallel()
	var boxes []*appbox.Server
	var list []discovery.Instance
	for i := range 3 {
		b := testutil.StartAppServer(t, fmt.Sprint("s-", i))
		b.SetDelay(2 * time.Millisecond)
		boxes = append(boxes, b)
		list = append(list, discovery.Instance{
			InstanceID: b.Name, HostPort: b.Addr(), Zone: "a", Lifecycle: "Ready", Weight: 1,
		})
	}
	n := startWithAdmin(t, newFakeDiscovery(t, list...), nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, n.addr, 8, 0)
	for _, b := range boxes {
		n.commandOK("DETACH " + b.Name)
		detached := time.Now()
		time.Sleep(600 * time.Millisecond) // the time under test: longer than the grace
		n.commandOK("ATTACH " + b.Name)
		reattached := time.Now()
		testutil.Until(t, "a request at the reattached server", func() bool {
			seen, _ := b.Seen()
			return len(seen) > 0 && seen[len(seen)-1].At.After(reattached)
		})
		seen, _ := b.Seen()
		for _, s := range seen {
			if s.At.After(detached.Add(500*time.Millisecond)) && s.At.Before(reattached) {
				t.Fatalf("a request at %s %v after it was detached", b.Name, s.At.Sub(detached))
			}
		}
	}
	stop()
	if lost := clients.Wait(); len(lost) > 0 || clients.Served.Load() == 0 {
		t.Errorf("%d served, lost: %v", clients.Served.Load(), lost)
	}
}

func TestLameDuck(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n := startWithAdmin(t, newFakeDiscovery(t, instanceAt(b, "s-0")), nil)
	idle := n.dial() // after a request
	n.ask(idle)
	active := n.dial() // sends further requests
	n.ask(active)
	unused := n.dial()
	n.commandOK("LAMEDUCK")
	n.commandOK("LAMEDUCK")
	n.commandOK("PING") // the process still answers
	n.waitReady(http.StatusServiceUnavailable)
	if resp := n.ask(active); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("an open connection got status %d, close %v", resp.StatusCode, resp.Close)
	}
	if resp := n.ask(n.dial()); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a new connection got status %d, close %v", resp.StatusCode, resp.Close)
	}
	for name, nc := range map[string]net.Conn{"idle": idle, "unused": unused} {
		if _, err := io.ReadAll(nc); testutil.IsTimeout(err) {
			t.Errorf("the %s connection stays open", name)
		}
	}
	n.commandOK("REJOIN")
	n.waitReady(http.StatusOK)
	nc := n.dial()
	for range 2 {
		if resp := n.ask(nc); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("after REJOIN: status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// REJOIN while the node empties, and a shutdown in lame duck mode.
func TestRejoinWhileEmptying(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n := startWithAdmin(t, newFakeDiscovery(t, instanceAt(b, "s-0")), nil)
	for range 3 {
		n.commandOK("LAMEDUCK")
		n.commandOK("REJOIN")
	}
	n.waitReady(http.StatusOK)
	n.commandOK("LAMEDUCK")
	n.stop()
	if err := testutil.Wait(t, n.done, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// Commands are executed while all client connections are taken, by requests that no server answers and by
// connections without a request, and while a hundred admin connections stall.
func TestCommandsOnFullNode(t *testing.T) {
	t.Parallel()
	left := make(chan struct{}, 1)
	b := testutil.NewBackend(t, silent(left))
	n := startWithAdmin(t, newFakeDiscovery(t, instanceAt(b, "s-0")), func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 96}
	})
	for i := range 120 {
		nc := n.dial()
		if i%2 == 0 {
			if err := n.request("read").Write(nc); err != nil {
				continue // it was closed to make room
			}
		}
	}
	rejected := n.dial() // no connection is left: rejected with Retry-After, or closed
	if err := n.request("read").Write(rejected); err == nil {
		resp, err := http.ReadResponse(bufio.NewReader(rejected), nil)
		if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("status %d: the node is not full", resp.StatusCode)
		} else if testutil.IsTimeout(err) {
			t.Fatal("a client waits: the node is not full")
		}
	}
	for i := range 100 {
		nc, err := net.Dial("tcp", n.node.adminListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		if i%2 == 0 {
			io.WriteString(nc, "DETACH s")
		}
		if i%10 == 0 {
			began := time.Now()
			n.commandOK("DETACH s-0")
			n.commandOK("ATTACH s-0")
			t.Logf("two commands took %v", time.Since(began))
		}
	}
}
