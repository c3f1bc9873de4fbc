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

// versionWithEndpoints is a version with a long list.
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

func healthChange(i int, health string) config.File {
	return config.File{Name: "change.toml", Text: fmt.Appendf(nil,
		"[cluster]\nname = \"rooms\"\nchange = true\n[[endpoint]]\nid = \"s-%05d\"\naddress = \"10.%d.%d.1:80\"\n"+
			"zone = \"a\"\nweight = 1\nhealth = %q\n[end]\nendpoints = 1\n", i, i/250, i%250, health)}
}

// waitForVersion waits until a version is active and all nodes hold it. A node that lags may skip versions, and then
// parses the next one completely.
func (f *testFleet) waitForVersion(number uint64) {
	f.t.Helper()
	testutil.Until(f.t, "the version to be active", func() bool {
		return f.nodes[0].node.state().ActiveVersion == number
	})
	for _, n := range f.nodes {
		testutil.Until(f.t, n.name+" to hold the version", func() bool {
			n.node.versionsMu.Lock()
			defer n.node.versionsMu.Unlock()
			return n.node.versions[number] != nil
		})
	}
}

// Changes of one long list: each node reads the list itself once, and again when changes are folded into it; all come
// to the same list, and what doesn't go with it is refused.
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
		health := "draining" // each other one contradicts what is in force
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
			if !p.Retry && !strings.Contains(p.Error, "not the present one") {
				t.Fatalf("%+v", p)
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
		t.Errorf("%+v, %v", bad, err)
	}
	drain, err := f.client.PublishChange(f.context(), "last", base, healthChange(7, "draining"))
	if err != nil || !f.waitForOutcome(drain.Number).InForce {
		t.Fatalf("%+v, %v", drain, err)
	}
	for i, n := range f.nodes {
		var v *consensus.Version
		testutil.Until(t, n.name+" to hold it", func() bool {
			n.node.versionsMu.Lock()
			defer n.node.versionsMu.Unlock()
			v = n.node.versions[drain.Number]
			return v != nil
		})
		if c := v.Clusters["rooms"]; len(c.Endpoints) != endpoints || c.Endpoints[7].Serves() || !c.Endpoints[8].Serves() {
			t.Errorf("%s has another list", n.name)
		}
		n.mu.Lock()
		// The first version is parsed completely, and each in which changes are merged into the lists.
		if most := 1 + (changes+maxChangesPerVersion-1)/maxChangesPerVersion; n.parsed > most {
			t.Errorf("node %d read the whole %d times over %d changes; %d at most", i, n.parsed, changes, most)
		}
		n.mu.Unlock()
	}
	n := f.nodes[4]
	t.Logf("%d changes of a list of %d, half of them contradicting: %v each; "+
		"%s parsed the list %d times, changes %d times",
		changes, endpoints, took/time.Duration(changes), n.name, n.parsed, n.extended)
}
