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

func static(name string) proto.Message { return padded(name, 1000) }

func padded(name string, bytes int) proto.Message {
	return &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STATIC},
		AltStatName:          strings.Repeat("x", bytes),
	}
}

func plane(t *testing.T, clusters ...string) *controlplane.Server {
	p, err := controlplane.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	put(t, p, clusters...)
	return p
}

func put(t *testing.T, p *controlplane.Server, clusters ...string) {
	all := map[string]proto.Message{}
	for _, name := range clusters {
		all[name] = static(name)
	}
	if err := p.SetResources(all); err != nil {
		t.Fatal(err)
	}
}

// run runs a client; seen waits until a cluster is in force.
func run(t *testing.T, c Config) (seen func(name string), logs *testutil.Logs) {
	logs = testutil.NewLogs(t)
	c.Failover.InitialBackoff, c.Failover.MaxBackoff = 5*time.Millisecond, 50*time.Millisecond
	if c.Failover.PreferredProbeInterval == 0 {
		c.Failover.PreferredProbeInterval = time.Hour
	}
	client := New(c, logs.Logger())
	var mu sync.Mutex
	all := map[string]bool{}
	take := func(d *Delivery) {
		mu.Lock()
		defer mu.Unlock()
		clear(all)
		for name := range d.View.Clusters() {
			all[name] = true
		}
	}
	client.Restore(take)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx, take) })
	t.Cleanup(func() { stop(); running.Wait() })
	return func(name string) {
		t.Helper()
		testutil.Until(t, "cluster "+name, func() bool { mu.Lock(); defer mu.Unlock(); return all[name] })
	}, logs
}

var variants = map[string]ads.Variant{"state of the world": ads.StateOfTheWorld, "incremental": ads.Incremental}

// The first control plane sends nothing on an open connection, the second refuses connections, the third responds. Once
// the preferred one responds it is followed again.
func TestPreference(t *testing.T) {
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			first, second := plane(t, "of-first"), plane(t, "of-second")
			first.QueueFaults(controlplane.StopSending)
			seen, logs := run(t, Config{
				Servers: []string{first.Addr(), testutil.RefusingAddr(t), second.Addr()}, Variant: variant,
				FirstResponseTimeout: 50 * time.Millisecond,
				Failover:             ads.FailoverOptions{PreferredProbeInterval: 200 * time.Millisecond},
			})
			seen("of-second")
			logs.Wait("silent for 50ms")
			logs.Wait("probing a preferred control plane")
			seen("of-first")
		})
	}
}

// A control plane whose streams break often is followed all the same, with a bounded number of streams.
func TestFlaps(t *testing.T) {
	p := plane(t, "a")
	seen, _ := run(t, Config{Servers: []string{p.Addr()}, Variant: ads.Incremental})
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		p.BreakStreams()
		put(t, p, name)
		seen(name)
	}
	if opened, open := p.Streams(); opened > 12 || open > 1 {
		t.Errorf("%d streams, %d open", opened, open)
	}
	for _, versions := range p.InitialVersions()[1:] {
		if versions["a"] == "" {
			t.Errorf("a stream begins with %v", versions)
		}
	}
}

// A message over the limit ends the stream with an error that says so; the former version stays. With YOKESTALL_LARGE
// set the limit is the default one, and 100 resources have over 64 MB.
func TestMessageTooLarge(t *testing.T) {
	p := plane(t, "a")
	most := 64 << 10
	if os.Getenv("YOKESTALL_LARGE") != "" {
		most = DefaultMaxMessageBytes
	}
	seen, logs := run(t, Config{Servers: []string{p.Addr()}, Variant: ads.StateOfTheWorld, MaxMessageBytes: most})
	seen("a")
	var many []string
	large := map[string]proto.Message{}
	for i := range 100 {
		many = append(many, "c"+strings.Repeat("x", i))
		large[many[i]] = padded(many[i], most/100)
	}
	if err := p.SetResources(large); err != nil {
		t.Fatal(err)
	}
	logs.Wait("larger than max")
	seen("a")
	p.RemoveResources(clusterURL, many...)
	put(t, p, "b")
	seen("b")
}

// A cache file that is truncated or changed, at whichever byte, is not used.
func TestKept(t *testing.T) {
	keep := filepath.Join(t.TempDir(), "kept")
	p := plane(t, "a", "b")
	c := Config{Servers: []string{p.Addr()}, Variant: ads.Incremental, CacheFile: keep}
	t.Run("write", func(t *testing.T) {
		seen, _ := run(t, c)
		seen("b")
	})
	p.Down()
	text, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseCacheFile(text)
	if err != nil || len(got.resources[ads.Cluster]) != 2 || time.Since(got.savedAt) > time.Hour {
		t.Fatalf("%+v, %v", got, err)
	}
	for n := range text {
		if _, err := parseCacheFile(text[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes are taken", n, len(text))
		}
		broken := append([]byte(nil), text...)
		if broken[n] ^= 1; n > len(cacheFileMark)+14 { // before that are the mark and the time
			if _, err := parseCacheFile(broken); err == nil {
				t.Fatalf("byte %d of %d is another one, and it is taken", n, len(text))
			}
		}
	}
	t.Run("use", func(t *testing.T) {
		seen, logs := run(t, c)
		seen("a")
		logs.Wait("starting from the cached control plane version")
	})
	t.Run("broken", func(t *testing.T) {
		if err := os.WriteFile(keep, text[:len(text)-1], 0o644); err != nil {
			t.Fatal(err)
		}
		_, logs := run(t, c)
		logs.Wait("cached control plane version unusable")
	})
}

// FuzzParse: a malformed message is an error.
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
			t.Fatalf("%v, %v", r, err)
		}
		parseCacheFile(b)
	})
}
