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
func startWithAdmin(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) *testNode {
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

// command sends one command to the admin API and returns the reply.
func (n *testNode) command(text string) string {
	n.t.Helper()
	reply, err := adminapi.Send(n.node.adminListener.Addr().String(), text, testutil.WaitTimeout)
	if err != nil {
		n.t.Fatalf("command %s: %v", text, err)
	}
	return reply
}

// commandOK sends a command and fails the test unless the command succeeds.
func (n *testNode) commandOK(text string) {
	n.t.Helper()
	if got := n.command(text); !strings.HasPrefix(got, "+OK") {
		n.t.Fatalf("command %s: got %s, want +OK", text, got)
	}
}

// A detached server gets no requests until it is attached, also if it leaves the list and returns. Commands with unknown IDs
// or wrong arguments fail.
func TestDetachAndAttach(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	d := newFakeDiscovery(t, instanceAt(a, "s-0"), instanceAt(b, "s-1"))
	n := startWithAdmin(t, d, nil)
	n.commandOK("PING")
	for _, text := range []string{"DETACH s-9", "ATTACH s-9", "DETACH", "REJOIN x"} {
		if got := n.command(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("command %s: got %s, want -ERR", text, got)
		}
	}
	n.commandOK("DETACH s-0")
	n.commandOK("DETACH s-0")
	d.change(t, func() { d.list = d.list[1:] }) // s-0 leaves the list
	n.commandOK("DETACH s-0")                   // s-0 is still known
	d.change(t, func() { d.list = append(d.list, instanceAt(a, "s-0")) })
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("got status %d, want 200", r.status)
		}
	}
	if len(a.Requests) > 0 {
		t.Errorf("%d requests reached a detached server that is back on the list, want 0", len(a.Requests))
	}
	n.commandOK("ATTACH s-0") // one ATTACH reverses several DETACH commands
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
		t.Errorf("with all servers detached: got status %d, Retry-After %q after %v, want 503 with Retry-After within 1 s",
			r.status, r.header.Get("Retry-After"), r.took)
	}
}

// Without an endpoint list, PING and DETACH fail, since no clients are accepted and no ID is known.
func TestCommandsWithoutList(t *testing.T) {
	t.Parallel()
	d := newFakeDiscovery(t)
	d.set(func() { d.down = true })
	n := start(t, testConfig(t, d, func(file map[string]any) { file["mgmt"] = "127.0.0.1:0" }))
	for _, text := range []string{"PING", "DETACH s-0"} {
		if got := n.command(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("command %s: got %s, want -ERR", text, got)
		}
	}
	n.commandOK("LAMEDUCK")
	n.commandOK("REJOIN")
}

// Servers are detached and reattached under traffic. No request may reach a detached server between the end of the drain
// grace after the reply to DETACH and the ATTACH command.
func TestDetachUnderTraffic(t *testing.T) {
	t.Parallel()
	var servers []*appbox.Server
	var list []discovery.Instance
	for i := range 3 {
		b := testutil.StartAppServer(t, fmt.Sprint("s-", i))
		b.SetDelay(2 * time.Millisecond)
		servers = append(servers, b)
		list = append(list, discovery.Instance{
			InstanceID: b.Name, HostPort: b.Addr(), Zone: "a", Lifecycle: "Ready", Weight: 1,
		})
	}
	n := startWithAdmin(t, newFakeDiscovery(t, list...), nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, n.addr, 8, 0)
	for _, b := range servers {
		n.commandOK("DETACH " + b.Name)
		detached := time.Now()
		time.Sleep(600 * time.Millisecond) // longer than the drain grace
		n.commandOK("ATTACH " + b.Name)
		reattached := time.Now()
		testutil.Until(t, "a request at the reattached server", func() bool {
			seen, _ := b.Seen()
			return len(seen) > 0 && seen[len(seen)-1].At.After(reattached)
		})
		seen, _ := b.Seen()
		for _, s := range seen {
			if s.At.After(detached.Add(500*time.Millisecond)) && s.At.Before(reattached) {
				t.Fatalf("a request reached %s %v after it was detached", b.Name, s.At.Sub(detached))
			}
		}
	}
	stop()
	if lost := clients.Wait(); len(lost) > 0 || clients.Served.Load() == 0 {
		t.Errorf("%d requests served, want more than 0; lost requests: %v, want none", clients.Served.Load(), lost)
	}
}

// In lame duck mode the node fails health checks and closes connections: idle ones at once, others with the next response.
// REJOIN ends the mode.
func TestLameDuck(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n := startWithAdmin(t, newFakeDiscovery(t, instanceAt(b, "s-0")), nil)
	idle := n.dial() // idle after its request
	n.roundTrip(idle)
	active := n.dial() // sends another request in lame duck mode
	n.roundTrip(active)
	unused := n.dial()
	n.commandOK("LAMEDUCK")
	n.commandOK("LAMEDUCK")
	n.commandOK("PING") // PING still succeeds in lame duck mode
	n.waitReady(http.StatusServiceUnavailable)
	if resp := n.roundTrip(active); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("on an open connection: got status %d, close %v, want 200, true", resp.StatusCode, resp.Close)
	}
	if resp := n.roundTrip(n.dial()); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("on a new connection: got status %d, close %v, want 200, true", resp.StatusCode, resp.Close)
	}
	for name, nc := range map[string]net.Conn{"idle": idle, "unused": unused} {
		if _, err := io.ReadAll(nc); testutil.IsTimeout(err) {
			t.Errorf("the %s connection stays open in lame duck mode", name)
		}
	}
	n.commandOK("REJOIN")
	n.waitReady(http.StatusOK)
	nc := n.dial()
	for range 2 {
		if resp := n.roundTrip(nc); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("after REJOIN: got status %d, close %v, want 200, false", resp.StatusCode, resp.Close)
		}
	}
}

// A REJOIN soon after LAMEDUCK, while connections are still being closed, makes the node ready again. A node in lame duck
// mode can be shut down.
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

// Commands are executed while all client connections are in use, by requests that no server answers and by connections
// without a request, and while a hundred admin connections stall.
func TestCommandsOnFullNode(t *testing.T) {
	t.Parallel()
	disconnected := make(chan struct{}, 1)
	b := testutil.NewBackend(t, neverRespond(disconnected))
	n := startWithAdmin(t, newFakeDiscovery(t, instanceAt(b, "s-0")), func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 96}
	})
	for i := range 120 {
		nc := n.dial()
		if i%2 == 0 {
			if err := n.request("read").Write(nc); err != nil {
				continue // the connection was closed to make room
			}
		}
	}
	rejected := n.dial() // rejected with Retry-After or disconnected, since no connection is left
	if err := n.request("read").Write(rejected); err == nil {
		resp, err := http.ReadResponse(bufio.NewReader(rejected), nil)
		if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got status %d, want 503: the node still accepts clients", resp.StatusCode)
		} else if testutil.IsTimeout(err) {
			t.Fatal("the client gets no response and is not disconnected: the node still accepts clients")
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
