package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

const settingsText = `{
	"Accounts": [{"Name": "acme", "QuotaPerS": 1000}],
	"Classes": [
		{"Name": "read", "Effect": "pure", "DeadlineMs": 8000, "PromiseMs": 6000, "Importance": 1},
		{"Name": "push", "Effect": "token", "DedupScope": "all", "KeyTtlMs": 20000, "DeadlineMs": 8000, "PromiseMs": 6000},
		{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 8000, "PromiseMs": 6000}],
	"Limits": {"Cancel": true, "ConnIdleMs": 15000, "ConnectTimeoutMs": 2000, "MaxAttempts": 3,
		"MaxRetryAfterMs": 600, "RetryAfter": true, "SecondCopies": true},
	"RegistryMode": "pushed", "TickMs": 5, "Zones": ["a"], "Novel": {"x": 1}}`

// fakeDiscovery is a discovery service with a list that the test sets.
type fakeDiscovery struct {
	*httptest.Server
	mu      sync.Mutex
	list    []discovery.Instance
	version int
	down    bool
	changed chan struct{} // closed at the next change
	calls   chan string   // queries of the calls; further queries are dropped while the channel is full
}

// resetConnection closes the connection without a response.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		nc.Close()
	}
}

// neverRespond accepts requests and sends no response until its client disconnects.
func neverRespond(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case disconnected <- struct{}{}:
		default:
		}
	}
}

// testConfig writes a configuration file, which change may modify, and returns the configuration that is read from it.
func testConfig(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) *Config {
	t.Helper()
	file := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": d.Listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"settings": json.RawMessage(settingsText), "novel": true,
	}
	if change != nil {
		change(file)
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg.Log = testutil.Log(t)
	return cfg
}

// testNode is a node that runs in the test's process, or the node at addr if only t and addr are set.
type testNode struct {
	t    *testing.T
	node *Node
	addr string
	stop context.CancelFunc
	done chan error // receives the result of Node.Run
}

func start(t *testing.T, cfg *Config) *testNode {
	t.Helper()
	n, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{t: t, node: n, addr: n.Addr().String(), stop: cancel, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { r.done <- n.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		testutil.Wait(t, ended, "the node to stop")
	})
	return r
}

// startReady starts a node with the given servers on its endpoint list and waits until the node is ready.
func startReady(t *testing.T, backends ...*testutil.Backend) (*testNode, *fakeDiscovery) {
	t.Helper()
	var list []discovery.Instance
	for i, b := range backends {
		list = append(list, instanceAt(b, fmt.Sprintf("s-%d", i)))
	}
	d := newFakeDiscovery(t, list...)
	n := start(t, testConfig(t, d, nil))
	n.waitReady(http.StatusOK)
	return n, d
}

func (n *testNode) waitReady(status int) {
	n.t.Helper()
	testutil.Until(n.t, fmt.Sprintf("readiness to become %d", status), func() bool {
		resp, err := http.Get("http://" + n.addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == status
	})
}

var lastID struct {
	sync.Mutex
	n int
}

// request returns a valid request of a class, with a new request ID.
func (n *testNode) request(class string) *http.Request {
	lastID.Lock()
	lastID.n++
	id := fmt.Sprintf("%016x", lastID.n)
	lastID.Unlock()
	method, body := http.MethodPost, []byte(`{"x":1}`)
	if class == "read" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, "http://"+n.addr+"/"+class+"?obj=7f3a%2F9c&z", bytes.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "acme")
	r.Header.Set("X-Timeout-Ms", "8000")
	if class == "push" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

func (n *testNode) do(r *http.Request) reply {
	n.t.Helper()
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		n.t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatalf("incomplete response: %v", err)
	}
	return reply{resp.StatusCode, resp.Header, string(body), time.Since(began)}
}
