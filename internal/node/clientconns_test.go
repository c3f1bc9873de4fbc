package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

func (n *testNode) dial() net.Conn {
	n.t.Helper()
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return nc
}

// roundTrip sends a request of class "read" on a connection and reads the response.
func (n *testNode) roundTrip(nc net.Conn) *http.Response {
	n.t.Helper()
	r := n.request("read")
	if err := r.Write(nc); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil {
		n.t.Fatalf("no response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// startSmall starts a node with 64 descriptors. It allows 17 client connections with a request and 3 without, and 2 more that
// it rejects with Retry-After.
func startSmall(t *testing.T, b *testutil.Backend) *testNode { return startSized(t, b, 64) }

func startSized(t *testing.T, b *testutil.Backend, sockets int) *testNode {
	d := newFakeDiscovery(t, instanceAt(b, "s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
	}))
	n.waitReadyAlone()
	return n
}

// waitReadyAlone waits until the node is ready. None of its connections is left when it returns, since a client sees the
// close only after the node has freed the connection's slot.
func (n *testNode) waitReadyAlone() {
	n.t.Helper()
	for end := time.Now().Add(testutil.WaitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		nc := n.dial()
		io.WriteString(nc, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		text, err := io.ReadAll(nc)
		nc.Close()
		if err == nil && strings.HasPrefix(string(text), "HTTP/1.1 200") {
			return
		}
	}
	n.t.Fatal("the node never became ready")
}
