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

// startManaged starts a node with an operators' address.
func startManaged(t *testing.T, d *registryStub, change func(file map[string]any)) *running {
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

// call makes one call to the operators' address.
func (n *running) call(text string) string {
	n.t.Helper()
	answer, err := adminapi.Ask(n.node.mgmt.Addr().String(), text, testutil.Patience)
	if err != nil {
		n.t.Fatalf("%s: %v", text, err)
	}
	return answer
}

func (n *running) callOK(text string) {
	n.t.Helper()
	if got := n.call(text); !strings.HasPrefix(got, "+OK") {
		n.t.Fatalf("%s: %s", text, got)
	}
}

func TestDetachAndAttach(t *testing.T) {
	t.Parallel()
	a, b := testutil.NewBackend(t, testutil.OK), testutil.NewBackend(t, testutil.OK)
	d := newRegistry(t, instanceAt(a, "s-0"), instanceAt(b, "s-1"))
	n := startManaged(t, d, nil)
	n.callOK("PING")
	for _, text := range []string{"DETACH s-9", "ATTACH s-9", "DETACH", "REJOIN x"} {
		if got := n.call(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %s", text, got)
		}
	}
	n.callOK("DETACH s-0")
	n.callOK("DETACH s-0")
	d.change(t, func() { d.list = d.list[1:] }) // it leaves the list,
	n.callOK("DETACH s-0")                      // is known still,
	d.change(t, func() { d.list = append(d.list, instanceAt(a, "s-0")) })
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
	if len(a.Got) > 0 {
		t.Errorf("%d sends to a server that is out and back on the list", len(a.Got))
	}
	n.callOK("ATTACH s-0") // one is enough
	testutil.Until(t, "something to go to the server that was called back", func() bool {
		n.do(n.request("read"))
		for len(b.Got) > 0 {
			<-b.Got
		}
		return len(a.Got) > 0
	})
	n.callOK("DETACH s-0")
	n.callOK("DETACH s-1")
	r := n.do(n.request("read"))
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.took > time.Second {
		t.Errorf("with all servers out: status %d, Retry-After %q, after %v", r.status, r.header.Get("Retry-After"), r.took)
	}
}

// Without a list nobody has a server's id, and no clients are taken.
func TestCallsWithoutAList(t *testing.T) {
	t.Parallel()
	d := newRegistry(t)
	d.set(func() { d.down = true })
	n := start(t, testConfig(t, d, func(file map[string]any) { file["mgmt"] = "127.0.0.1:0" }))
	for _, text := range []string{"PING", "DETACH s-0"} {
		if got := n.call(text); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %s", text, got)
		}
	}
	n.callOK("LAMEDUCK")
	n.callOK("REJOIN")
}

// Servers are taken out and called back under traffic: what reaches one later than the grace after
// its call's yes, and before it is called back, is a broken rule.
func TestDetachUnderTraffic(t *testing.T) {
	t.Parallel()
	var boxes []*appbox.Box
	var list []discovery.Instance
	for i := range 3 {
		b := testutil.Box(t, fmt.Sprint("s-", i))
		b.SetDelay(2 * time.Millisecond)
		boxes = append(boxes, b)
		list = append(list, discovery.Instance{InstanceID: b.Name, HostPort: b.Addr(), Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	n := startManaged(t, newRegistry(t, list...), nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, n.addr, 8, 0)
	for _, b := range boxes {
		n.callOK("DETACH " + b.Name)
		out := time.Now()
		time.Sleep(600 * time.Millisecond) // the time under test: past the grace
		n.callOK("ATTACH " + b.Name)
		back := time.Now()
		testutil.Until(t, "a request at the server that was called back", func() bool {
			seen, _ := b.Seen()
			return len(seen) > 0 && seen[len(seen)-1].At.After(back)
		})
		seen, _ := b.Seen()
		for _, s := range seen {
			if s.At.After(out.Add(500*time.Millisecond)) && s.At.Before(back) {
				t.Fatalf("a request came to %s %v after it was taken out", b.Name, s.At.Sub(out))
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
	n := startManaged(t, newRegistry(t, instanceAt(b, "s-0")), nil)
	idle := n.dial() // has asked and rests
	n.ask(idle)
	regular := n.dial() // goes on asking
	n.ask(regular)
	silent := n.dial()
	n.callOK("LAMEDUCK")
	n.callOK("LAMEDUCK")
	n.callOK("PING") // the process is there
	n.waitReady(http.StatusServiceUnavailable)
	if resp := n.ask(regular); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("an open connection got status %d, its end announced %v", resp.StatusCode, resp.Close)
	}
	if resp := n.ask(n.dial()); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a new connection got status %d, its end announced %v", resp.StatusCode, resp.Close)
	}
	for name, nc := range map[string]net.Conn{"idle": idle, "silent": silent} {
		if _, err := io.ReadAll(nc); testutil.IsTimeout(err) {
			t.Errorf("the %s connection stays open", name)
		}
	}
	n.callOK("REJOIN")
	n.waitReady(http.StatusOK)
	nc := n.dial()
	for range 2 {
		if resp := n.ask(nc); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("back at work: status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// REJOIN in mid-drain, and a stop while drained.
func TestRejoinInMidDrain(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n := startManaged(t, newRegistry(t, instanceAt(b, "s-0")), nil)
	for range 3 {
		n.callOK("LAMEDUCK")
		n.callOK("REJOIN")
	}
	n.waitReady(http.StatusOK)
	n.callOK("LAMEDUCK")
	n.stop()
	if err := testutil.Wait(t, n.done, "the node to stop"); err != nil {
		t.Error(err)
	}
}

// Operators are heard while all places of clients are taken, by requests that no server answers and
// by connections that say nothing, and while stalled callers come by hundreds.
func TestOperatorsAreHeardOnAFullNode(t *testing.T) {
	t.Parallel()
	left := make(chan struct{}, 1)
	b := testutil.NewBackend(t, silent(left))
	n := startManaged(t, newRegistry(t, instanceAt(b, "s-0")), func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 96}
	})
	for i := range 120 {
		nc := n.dial()
		if i%2 == 0 {
			if err := n.request("read").Write(nc); err != nil {
				continue // one too many: its place was another's
			}
		}
	}
	turned := n.dial() // all places are taken: this one is told to come back, or closed
	if err := n.request("read").Write(turned); err == nil {
		if resp, err := http.ReadResponse(bufio.NewReader(turned), nil); err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("a client got status %d: the node is not full", resp.StatusCode)
		} else if testutil.IsTimeout(err) {
			t.Fatal("a client waits: the node is not full")
		}
	}
	for i := range 100 {
		nc, err := net.Dial("tcp", n.node.mgmt.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		if i%2 == 0 {
			io.WriteString(nc, "DETACH s")
		}
		if i%10 == 0 {
			began := time.Now()
			n.callOK("DETACH s-0")
			n.callOK("ATTACH s-0")
			t.Logf("two calls took %v", time.Since(began))
		}
	}
}
