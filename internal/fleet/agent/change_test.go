package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// versionWithEndpoints returns the files of a version whose cluster "rooms" has a number of endpoints.
func versionWithEndpoints(endpoints int) []config.File {
	var b strings.Builder
	b.WriteString("[cluster]\nname = \"rooms\"\n")
	for i := range endpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"s-%05d\"\naddress = \"10.%d.%d.1:80\"\nzone = \"a\"\nweight = 1\n",
			i, i/250, i%250)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", endpoints)
	return []config.File{versionWithEffect("safe")[0], {Name: "rooms.toml", Text: []byte(b.String())}}
}

// healthChange returns a change that sets the health of the endpoint with index i of versionWithEndpoints.
func healthChange(i int, health string) config.File {
	return config.File{Name: "change.toml", Text: fmt.Appendf(nil,
		"[cluster]\nname = \"rooms\"\nchange = true\n[[endpoint]]\nid = \"s-%05d\"\naddress = \"10.%d.%d.1:80\"\n"+
			"zone = \"a\"\nweight = 1\nhealth = %q\n[end]\nendpoints = 1\n", i, i/250, i%250, health)}
}

// waitForVersion waits until a version is active and all nodes have it in their caches. Without this wait, a node that
// lags behind could skip versions, and would then parse the next one completely.
func (f *testFleet) waitForVersion(number uint64) {
	f.t.Helper()
	testutil.Until(f.t, "the published version to be active", func() bool {
		return f.nodes[0].node.state().ActiveVersion == number
	})
	for _, n := range f.nodes {
		testutil.Until(f.t, n.name+" to cache the published version", func() bool {
			n.node.versionsMu.Lock()
			defer n.node.versionsMu.Unlock()
			return n.node.versions[number] != nil
		})
	}
}

// After many changes of one long endpoint list, all nodes have the same list, and each has parsed the complete list only
// for the first version and whenever the changes were merged into it. A change that doesn't fit the list is rejected.
func TestChangesOfAList(t *testing.T) {
	endpoints, changes := 10_000, 100
	if testing.Short() || raceEnabled {
		endpoints, changes = 500, maxChangesPerVersion+5
	}
	f := newTestFleet(t, 3, 2)
	f.publish("one", 0, versionWithEndpoints(endpoints))
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	base, started := uint64(1), time.Now()
	for i := range changes {
		health := "draining" // every second change contradicts the active version
		if i%2 == 1 {
			health = "healthy"
		}
		for id := fmt.Sprint("c", i); ; {
			p, err := f.client.PublishChange(f.context(), id, base, healthChange(i/2, health))
			if err != nil {
				t.Fatal(err)
			}
			if p.Number > 0 {
				base = p.Number
				break
			}
			if !p.Retry && !strings.Contains(p.Error, "base is not the active version") {
				t.Fatalf("change %d from version %d: reply %+v, want a published version, a stale base or Retry", i, base, p)
			}
		}
		f.waitForVersion(base)
	}
	took := time.Since(started)
	unknown := config.File{
		Name: "c",
		Text: []byte("[cluster]\nname = \"rooms\"\nchange = true\nremoved = [\"s-none\"]\n[end]\nendpoints = 0\n"),
	}
	bad, err := f.client.PublishChange(f.context(), "bad", base, unknown)
	if err != nil || bad.Number != 0 || !strings.Contains(bad.Error, "not in the list") {
		t.Errorf("change that removes an unknown endpoint: reply %+v, %v; want an error that it is not in the list", bad, err)
	}
	drain, err := f.client.PublishChange(f.context(), "last", base, healthChange(7, "draining"))
	if err != nil || !f.waitForOutcome(drain.Number).InForce {
		t.Fatalf("last change: reply %+v, %v; want its version in force", drain, err)
	}
	for i, n := range f.nodes {
		var v *consensus.Version
		testutil.Until(t, n.name+" to cache the last version", func() bool {
			n.node.versionsMu.Lock()
			defer n.node.versionsMu.Unlock()
			v = n.node.versions[drain.Number]
			return v != nil
		})
		if c := v.Clusters["rooms"]; len(c.Endpoints) != endpoints || c.Endpoints[7].Serves() || !c.Endpoints[8].Serves() {
			t.Errorf("%s has a list of %d endpoints, want %d, of which s-00007 is draining and s-00008 is in use",
				n.name, len(c.Endpoints), endpoints)
		}
		n.mu.Lock()
		// The first version is parsed completely, and so is each version in which changes were merged into the list.
		if most := 1 + (changes+maxChangesPerVersion-1)/maxChangesPerVersion; n.parsed > most {
			t.Errorf("node %d parsed a complete version %d times during %d changes; want at most %d", i, n.parsed, changes, most)
		}
		n.mu.Unlock()
	}
	n := f.nodes[4]
	t.Logf("%d changes of a list of %d endpoints, half of them contradicting: %v for each change; "+
		"%s parsed the list %d times, changes %d times",
		changes, endpoints, took/time.Duration(changes), n.name, n.parsed, n.extended)
}
