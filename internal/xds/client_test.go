package xds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/controlplane"
	"yokestall/internal/testutil"
	"yokestall/internal/xds/ads"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const clusterURL = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

// staticCluster returns a cluster resource of about 1 kB.
func staticCluster(name string) proto.Message { return paddedCluster(name, 1000) }

// paddedCluster returns a cluster resource whose alt_stat_name has the given number of bytes.
func paddedCluster(name string, bytes int) proto.Message {
	return &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STATIC},
		AltStatName:          strings.Repeat("x", bytes),
	}
}

// startControlPlane starts a fake control plane that serves the named clusters.
func startControlPlane(t *testing.T, clusters ...string) *controlplane.Server {
	p, err := controlplane.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	setClusters(t, p, clusters...)
	return p
}

// setClusters adds the named clusters to the resources of a control plane, or replaces them there.
func setClusters(t *testing.T, p *controlplane.Server, clusters ...string) {
	all := map[string]proto.Message{}
	for _, name := range clusters {
		all[name] = staticCluster(name)
	}
	if err := p.SetResources(all); err != nil {
		t.Fatal(err)
	}
}

// runClient runs a client until the test ends. The returned waitForCluster waits until a cluster is in force.
func runClient(t *testing.T, c Config) (waitForCluster func(name string), logs *testutil.Logs) {
	logs = testutil.NewLogs(t)
	c.Failover.InitialBackoff, c.Failover.MaxBackoff = 5*time.Millisecond, 50*time.Millisecond
	if c.Failover.PreferredProbeInterval == 0 {
		c.Failover.PreferredProbeInterval = time.Hour
	}
	client := New(c, logs.Logger())
	var mu sync.Mutex
	active := map[string]bool{}
	onChange := func(d *Delivery) {
		mu.Lock()
		defer mu.Unlock()
		clear(active)
		for name := range d.View.Clusters() {
			active[name] = true
		}
	}
	client.Restore(onChange)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx, onChange) })
	t.Cleanup(func() { stop(); running.Wait() })
	return func(name string) {
		t.Helper()
		testutil.Until(t, "cluster "+name, func() bool { mu.Lock(); defer mu.Unlock(); return active[name] })
	}, logs
}

var variants = map[string]ads.Variant{"state of the world": ads.StateOfTheWorld, "incremental": ads.Incremental}

// TestPreference checks failover and the return to the preferred server: the first control plane opens a stream but
// sends nothing at first, the second refuses connections, and the third responds. The client has to follow the third,
// and the first again once a probe shows that it responds.
func TestPreference(t *testing.T) {
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			first, second := startControlPlane(t, "of-first"), startControlPlane(t, "of-second")
			first.QueueFaults(controlplane.StopSending)
			waitForCluster, logs := runClient(t, Config{
				Servers: []string{first.Addr(), testutil.RefusingAddr(t), second.Addr()}, Variant: variant,
				FirstResponseTimeout: 50 * time.Millisecond,
				Failover:             ads.FailoverOptions{PreferredProbeInterval: 200 * time.Millisecond},
			})
			waitForCluster("of-second")
			logs.Wait("no response on the stream within 50ms")
			logs.Wait("probing a preferred control plane")
			waitForCluster("of-first")
		})
	}
}

// TestFlaps checks that the client keeps following a control plane whose streams break often, that it opens a bounded
// number of streams, and that each later stream starts with the version of a resource that the client has.
func TestFlaps(t *testing.T) {
	p := startControlPlane(t, "a")
	waitForCluster, _ := runClient(t, Config{Servers: []string{p.Addr()}, Variant: ads.Incremental})
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		p.BreakStreams()
		setClusters(t, p, name)
		waitForCluster(name)
	}
	if opened, open := p.Streams(); opened > 12 || open > 1 {
		t.Errorf("got %d streams opened and %d still open, want at most 12 and 1", opened, open)
	}
	for _, versions := range p.InitialVersions()[1:] {
		if versions["a"] == "" {
			t.Errorf("got initial versions %v, want a version for a", versions)
		}
	}
}

// TestMessageTooLarge checks that a message over the limit ends the stream with an error that says so, and that the
// former version stays in force. If YOKESTALL_LARGE is set, the test uses the default limit, and 100 resources of more
// than 64 MB in all.
func TestMessageTooLarge(t *testing.T) {
	p := startControlPlane(t, "a")
	maxBytes := 64 << 10
	if os.Getenv("YOKESTALL_LARGE") != "" {
		maxBytes = DefaultMaxMessageBytes
	}
	waitForCluster, logs := runClient(t, Config{Servers: []string{p.Addr()}, Variant: ads.StateOfTheWorld, MaxMessageBytes: maxBytes})
	waitForCluster("a")
	var many []string
	large := map[string]proto.Message{}
	for i := range 100 {
		many = append(many, "c"+strings.Repeat("x", i))
		large[many[i]] = paddedCluster(many[i], maxBytes/100)
	}
	if err := p.SetResources(large); err != nil {
		t.Fatal(err)
	}
	logs.Wait("larger than max")
	waitForCluster("a")
	p.RemoveResources(clusterURL, many...)
	setClusters(t, p, "b")
	waitForCluster("b")
}

// TestKept checks that a client starts from a cache file without a control plane, and that a cache file that is
// truncated at any byte, or has a changed byte, is rejected.
func TestKept(t *testing.T) {
	cacheFile := filepath.Join(t.TempDir(), "kept")
	p := startControlPlane(t, "a", "b")
	c := Config{Servers: []string{p.Addr()}, Variant: ads.Incremental, CacheFile: cacheFile}
	t.Run("write", func(t *testing.T) {
		waitForCluster, _ := runClient(t, c)
		waitForCluster("b")
	})
	p.Down()
	text, err := os.ReadFile(cacheFile)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseCacheFile(text)
	if err != nil || len(got.resources[ads.Cluster]) != 2 || time.Since(got.savedAt) > time.Hour {
		t.Fatalf("got cached version %+v, error %v; want 2 clusters saved within the last hour", got, err)
	}
	for n := range text {
		if _, err := parseCacheFile(text[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes of a cache file were accepted", n, len(text))
		}
		damaged := append([]byte(nil), text...)
		// The magic word and the time, which come first, are not covered by the hash.
		if damaged[n] ^= 1; n > len(cacheFileMagic)+14 {
			if _, err := parseCacheFile(damaged); err == nil {
				t.Fatalf("a cache file with a changed byte %d of %d was accepted", n, len(text))
			}
		}
	}
	t.Run("use", func(t *testing.T) {
		waitForCluster, logs := runClient(t, c)
		waitForCluster("a")
		logs.Wait("starting from the cached control plane version")
	})
	t.Run("broken", func(t *testing.T) {
		if err := os.WriteFile(cacheFile, text[:len(text)-1], 0o644); err != nil {
			t.Fatal(err)
		}
		_, logs := runClient(t, c)
		logs.Wait("cached control plane version unusable")
	})
}

// FuzzParse checks that parsing any bytes as a response gives either a response or an error, and that parsing them as a
// cache file does not panic.
func FuzzParse(f *testing.F) {
	b, err := proto.Marshal(&discoveryv3.DeltaDiscoveryResponse{
		TypeUrl: clusterURL, Nonce: "1", RemovedResources: []string{"x"},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(true, b)
	f.Fuzz(func(t *testing.T, delta bool, b []byte) {
		x := &Client{}
		if delta {
			x.config.Variant = ads.Incremental
		}
		if r, err := x.parseResponse(b); (r == nil) == (err == nil) {
			t.Fatalf("got response %v and error %v, want exactly one of them", r, err)
		}
		parseCacheFile(b)
	})
}
