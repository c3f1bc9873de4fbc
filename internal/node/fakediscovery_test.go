package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

func newFakeDiscovery(t *testing.T, list ...discovery.Instance) *fakeDiscovery {
	d := &fakeDiscovery{list: list, changed: make(chan struct{}), calls: make(chan string, 4096)}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Close)
	t.Cleanup(func() { d.set(func() {}) })
	return d
}

// set makes a change to the list or the availability, and ends the long polls in flight.
func (d *fakeDiscovery) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// change makes a change and waits for the long poll that follows it. The node has then applied the change, since it polls
// again only after that.
func (d *fakeDiscovery) change(t *testing.T, change func()) {
	t.Helper()
	d.set(change)
	d.mu.Lock()
	after := fmt.Sprintf("after=%d&", d.version)
	d.mu.Unlock()
	for query := ""; !strings.HasPrefix(query, after); {
		query = testutil.Wait(t, d.calls, "the long poll after the change")
	}
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.calls <- r.URL.RawQuery:
	default:
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	if err == nil && after >= d.version && !d.down {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(endpointList{Generation: uint64(d.version), Full: true, Instances: d.list})
}

func instanceAt(b *testutil.Backend, id string) discovery.Instance {
	return discovery.Instance{InstanceID: id, HostPort: b.Addr(), Zone: "a", Lifecycle: "Ready", Weight: 1}
}
